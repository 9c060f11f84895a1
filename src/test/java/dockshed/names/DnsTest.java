package dockshed.names;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.Director.State;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Parsing of DNS answers, and the changes that a list makes. */
class DnsTest {
    /** Encodes an answer as a name server does, with compression pointers for repeated names. */
    static final class AnswerBuilder {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private final Map<String, Integer> offsetByName = new HashMap<>();
        private int records;
        private int flags = 0x8400;

        AnswerBuilder(int id, String question, int type) {
            u16(id).u16(0x8400).u16(1).u16(0).u16(0).u16(0);
            name(question).u16(type).u16(1);
        }

        AnswerBuilder u16(int v) {
            out.write(v >> 8);
            out.write(v);
            return this;
        }

        AnswerBuilder name(String name) {
            String rest = name;
            while (!rest.isEmpty()) {
                if (offsetByName.containsKey(rest)) {
                    return u16(0xc000 | offsetByName.get(rest));
                }
                offsetByName.put(rest, out.size());
                String label = rest.split("\\.", 2)[0];
                out.write(label.length());
                out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
                rest = rest.length() > label.length() ? rest.substring(label.length() + 1) : "";
            }
            out.write(0);
            return this;
        }

        private AnswerBuilder record(String name, int type, Runnable data) {
            records++;
            name(name).u16(type).u16(1).u16(0).u16(5);
            int length = out.size();
            u16(0);
            data.run();
            byte[] all = out.toByteArray();
            int size = all.length - length - 2;
            all[length] = (byte) (size >> 8);
            all[length + 1] = (byte) size;
            out.reset();
            out.writeBytes(all);
            return this;
        }

        AnswerBuilder srv(String target, int priority, int weight, int port) {
            return record(
                    DnsDiscovery.SERVICE_NAME,
                    Dns.SRV,
                    () -> u16(priority).u16(weight).u16(port).name(target));
        }

        AnswerBuilder a(String name, int last) {
            return record(name, Dns.A, () -> out.writeBytes(new byte[] {127, 0, 0, (byte) last}));
        }

        AnswerBuilder txt(String name, String... texts) {
            return record(name, Dns.TXT, () -> {
                for (String text : texts) {
                    out.write(text.length());
                    out.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
                }
            });
        }

        AnswerBuilder soa(int serial) {
            return record(
                    "fleet.local",
                    Dns.SOA,
                    () -> name("ns.fleet.local")
                            .name("admin.fleet.local")
                            .u16(serial >> 16)
                            .u16(serial)
                            .u16(0)
                            .u16(1)
                            .u16(0)
                            .u16(1)
                            .u16(0)
                            .u16(1)
                            .u16(0)
                            .u16(1));
        }

        AnswerBuilder responseCode(int code) {
            flags |= code;
            return this;
        }

        /** The answer marked as truncated, cut off after {@code limit} bytes. */
        byte[] truncated(int limit) {
            flags |= 0x0200;
            return Arrays.copyOf(bytes(), Math.min(limit, bytes().length));
        }

        byte[] bytes() {
            byte[] all = out.toByteArray();
            all[2] = (byte) (flags >> 8);
            all[3] = (byte) flags;
            all[6] = (byte) (records >> 8);
            all[7] = (byte) records;
            return all;
        }
    }

    private static byte[] exampleAnswer() {
        return new AnswerBuilder(7, DnsDiscovery.SERVICE_NAME, Dns.SRV)
                .srv("s-1.east.hosts", 0, 40, 5080)
                .srv("s-2.west.hosts", 1, 15, 5081)
                .soa(70_000)
                .a("s-1.east.hosts", 9)
                .a("s-2.west.hosts", 10)
                .txt("s-1.east.hosts", "kind=std", "cell=2", "started=0")
                .txt("s-2.west.hosts", "kind=big", "cell=3", "started=1500.5")
                .bytes();
    }

    @Test
    void queryIsEncoded() {
        assertArrayEquals(
                new byte[] {1, 2, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 1, 'a', 2, 'b', 'c', 0, 0, 33, 0, 1},
                Dns.query(0x0102, "a.bc", Dns.SRV));
    }

    @Test
    void listIsParsedFromCompressedNames() throws Exception {
        Dns.Answer a = Dns.parse(exampleAnswer());
        assertEquals(7, a.id());
        assertEquals(70_000, EdgeServerList.serial(a.records()));
        EdgeServerList list = new EdgeServerList();
        EdgeServerListUpdater updater = new EdgeServerListUpdater(list, DnsDiscovery.SERVICE_NAME);
        assertEquals(2, updater.applyListAnswer(a, 0).size());
        assertEquals(
                List.of(
                        new ListedServer(
                                new Server("s-1", "east", "std", 2, State.UP, 4, 0),
                                new InetSocketAddress("127.0.0.9", 5080)),
                        new ListedServer(
                                new Server("s-2", "west", "big", 3, State.DRAINING, 1.5, 1_500_500),
                                new InetSocketAddress("127.0.0.10", 5081))),
                list.all());
        assertNull(updater.nextQuestion(0), "no record is missing");
    }

    @Test
    void truncatedMessagesAndPointerLoopsAreMalformed() {
        byte[] complete = exampleAnswer();
        for (int i = 0; i < complete.length; i++) {
            byte[] truncated = Arrays.copyOf(complete, i);
            assertThrows(Dns.MalformedMessageException.class, () -> Dns.parse(truncated), "truncated at " + i);
        }
        byte[] pointerLoop = new AnswerBuilder(1, "a", Dns.A).bytes();
        pointerLoop[12] = (byte) 0xc0;
        pointerLoop[13] = 12;
        assertThrows(Dns.MalformedMessageException.class, () -> Dns.parse(pointerLoop));
        assertThrows(
                Dns.MalformedMessageException.class, () -> Dns.parse(Dns.query(1, "a", Dns.A)), "a query is no answer");
    }

    @Property(seed = "20261201", tries = 2000)
    void damagedMessagesAreParsedOrMalformed(@ForAll int position, @ForAll byte value, @ForAll byte[] garbage) {
        byte[] damaged = exampleAnswer();
        damaged[Math.floorMod(position, damaged.length)] = value;
        for (byte[] packet : new byte[][] {damaged, garbage}) {
            try {
                assertTrue(Dns.parse(packet).records() != null);
            } catch (Dns.MalformedMessageException e) {
                assertTrue(e.getMessage().length() > 0);
            }
        }
    }

    private static ListedServer listedServer(String id, State state, long upSince) {
        return new ListedServer(new Server(id, "z", "k", 0, state, 1, upSince), new InetSocketAddress("127.0.0.1", 1));
    }

    @Test
    void completeListYieldsOnlyChangesAndAnOutdatedOneNothing() {
        EdgeServerList list = new EdgeServerList();
        list.applyConfigured(
                3,
                ListScope.DISK,
                List.of(
                        listedServer("a", State.UP, 0),
                        listedServer("b", State.UP, 0),
                        listedServer("c", State.UP, 0)));
        assertEquals(
                List.of(),
                list.replaceAll(
                        3,
                        List.of(
                                listedServer("a", State.UP, 0),
                                listedServer("b", State.UP, 0),
                                listedServer("c", State.UP, 0))),
                "the same list again changes nothing");
        List<Server> changed =
                list.replaceAll(5, List.of(listedServer("a", State.DRAINING, 0), listedServer("c", State.UP, 9)));
        assertEquals(
                List.of("b GONE", "a DRAINING", "c UP"),
                changed.stream().map(s -> s.id() + " " + s.state()).toList());
        assertEquals(List.of("a", "c"), List.copyOf(list.addresses().keySet()));
        // Guards against an outdated answer, overtaken on its way, that revokes a server's drain.
        assertNull(list.replaceAll(4, List.of(listedServer("a", State.UP, 0))));
    }
}
