package dockshed.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** An edge server that answers each set-up at once and says nothing of loads. */
public final class AnsweringEdgeServer implements AutoCloseable {
    private static final int BACKLOG = 100;

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Map<String, Integer> paidSetUps;

    /** {@code paid}: set-ups of the paid class by session, counted there. */
    AnsweringEdgeServer(Map<String, Integer> paid) throws IOException {
        this.paidSetUps = paid;
        daemon(this::serve);
    }

    public AnsweringEdgeServer() throws IOException {
        this(new ConcurrentHashMap<>());
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private static void daemon(Runnable what) {
        Thread t = new Thread(what, "rig");
        t.setDaemon(true);
        t.start();
    }

    private void serve() {
        while (!listener.isClosed()) {
            try {
                Socket line = listener.accept();
                daemon(() -> answer(line));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void answer(Socket line) {
        try (line;
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(line.getInputStream(), StandardCharsets.UTF_8))) {
            for (String text = in.readLine(); text != null; text = in.readLine()) {
                var m = com.google.gson.JsonParser.parseString(text).getAsJsonObject();
                if (m.get("type").getAsString().equals("setup")) {
                    String id = m.get("id").getAsString();
                    if (m.getAsJsonObject("fields").get("class").getAsString().equals("cert-lesson")) {
                        paidSetUps.merge(id, 1, Integer::sum);
                    }
                    line.getOutputStream()
                            .write(("{\"type\":\"answer\",\"id\":\"" + id + "\",\"fields\":{},\"sdp\":\"v=0\"}\n")
                                    .getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException e) {
            // the broker is gone
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
