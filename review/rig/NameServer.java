package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A sound name server: DNS over UDP with the whole list as its answer, and the records of single names. */
final class NameServer {
    private static final String SERVICE = "_work._tcp.fleet.local";
    private static final int A = 1;
    private static final int SOA = 6;
    private static final int TXT = 16;
    private static final int SRV = 33;

    private final Case owner;
    private final DatagramSocket socket;
    private final long serial;
    private final List<Deployment.Member> members;
    private boolean asked;

    NameServer(Case owner, long serial, List<Deployment.Member> members) throws IOException {
        this.owner = owner;
        this.serial = serial;
        this.members = List.copyOf(members);
        socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve, "names");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    private void serve() {
        byte[] buffer = new byte[512];
        while (true) {
            DatagramPacket query = new DatagramPacket(buffer, buffer.length);
            try {
                socket.receive(query);
                byte[] answer = answer(buffer, query.getLength());
                socket.send(new DatagramPacket(answer, answer.length, query.getSocketAddress()));
            } catch (IOException | RuntimeException e) {
                owner.record("name server: %s", e);
            }
        }
    }

    private byte[] answer(byte[] query, int length) throws IOException {
        StringBuilder name = new StringBuilder();
        int at = 12;
        while (query[at] != 0) {
            name.append(name.length() == 0 ? "" : ".")
                    .append(new String(query, at + 1, query[at], StandardCharsets.US_ASCII));
            at += query[at] + 1;
        }
        int type = (query[at + 1] & 255) << 8 | query[at + 2] & 255;
        boolean whole = name.toString().equals(SERVICE) && type == SRV;
        List<Deployment.Member> found = whole
                ? members
                : members.stream().filter(m -> host(m).contentEquals(name)).toList();
        if (whole && !asked) {
            asked = true;
            owner.record("name server: whole list sent, serial %d, %d edge servers", serial, members.size());
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.write(query, 0, 2);
        out.writeShort(0x8400 | (found.isEmpty() && !whole ? 3 : 0));
        out.writeShort(1);
        out.writeShort(whole ? found.size() : type == A || type == TXT ? found.size() : 0);
        out.writeShort(1);
        out.writeShort(whole ? 2 * found.size() : 0);
        out.write(query, 12, at + 5 - 12);
        if (whole) {
            for (Deployment.Member member : found) {
                ByteArrayOutputStream data = new ByteArrayOutputStream();
                DataOutputStream srv = new DataOutputStream(data);
                srv.writeShort(0);
                srv.writeShort(27);
                srv.writeShort(member.port());
                srv.write(encode(host(member)));
                record(out, SERVICE, SRV, data.toByteArray());
            }
        } else {
            for (Deployment.Member member : found) {
                if (type == A || type == TXT) {
                    record(out, host(member), type, type == A ? address() : text(member));
                }
            }
        }
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        DataOutputStream soa = new DataOutputStream(data);
        soa.write(encode("names.hosts"));
        soa.write(encode("admin.hosts"));
        soa.writeInt((int) serial);
        for (int i = 0; i < 4; i++) {
            soa.writeInt(1);
        }
        record(out, "fleet.local", SOA, data.toByteArray());
        if (whole) {
            for (Deployment.Member member : found) {
                record(out, host(member), A, address());
                record(out, host(member), TXT, text(member));
            }
        }
        return bytes.toByteArray();
    }

    private static String host(Deployment.Member member) {
        return member.id() + ".east-hall.hosts";
    }

    private static byte[] address() {
        return new byte[] {127, 0, 0, 1};
    }

    private static byte[] text(Deployment.Member member) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String pair : List.of("kind=std-3core", "cell=" + member.cell(), "started=" + member.upSinceMs())) {
            out.write(pair.length());
            out.writeBytes(pair.getBytes(StandardCharsets.US_ASCII));
        }
        return out.toByteArray();
    }

    private static byte[] encode(String name) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String label : name.split("\\.")) {
            out.write(label.length());
            out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
        }
        out.write(0);
        return out.toByteArray();
    }

    private static void record(DataOutputStream out, String name, int type, byte[] data) throws IOException {
        out.write(encode(name));
        out.writeShort(type);
        out.writeShort(1);
        out.writeInt(1);
        out.writeShort(data.length);
        out.write(data);
    }
}
