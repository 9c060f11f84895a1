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

/** An edge server for tests that answers every set-up at once and sends no load reports. */
public final class AnsweringEdgeServer implements AutoCloseable {
    private static final int BACKLOG = 100;

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Map<String, Integer> paidSetUps;

    /** Counts the set-ups of the paid class by session in {@code paidSetUps}. */
    AnsweringEdgeServer(Map<String, Integer> paidSetUps) throws IOException {
        this.paidSetUps = paidSetUps;
        startDaemon(this::serve);
    }

    public AnsweringEdgeServer() throws IOException {
        this(new ConcurrentHashMap<>());
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "rig");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                startDaemon(() -> answer(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void answer(Socket connection) {
        try (connection;
                BufferedReader reader = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                var message = com.google.gson.JsonParser.parseString(line).getAsJsonObject();
                if (message.get("type").getAsString().equals("setup")) {
                    String session = message.get("id").getAsString();
                    if (message.getAsJsonObject("fields")
                            .get("class")
                            .getAsString()
                            .equals("cert-lesson")) {
                        paidSetUps.merge(session, 1, Integer::sum);
                    }
                    connection
                            .getOutputStream()
                            .write(("{\"type\":\"answer\",\"id\":\"" + session + "\",\"fields\":{},\"sdp\":\"v=0\"}\n")
                                    .getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException e) {
            // the broker has closed the connection
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
