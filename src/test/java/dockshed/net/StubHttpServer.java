package dockshed.net;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Function;

/** An HTTP server that answers with the text that a function gives for the path; null leaves it unanswered. */
public final class StubHttpServer implements AutoCloseable {
    private final ServerSocket socket;
    /** The paths of all requests, in order. */
    public final List<String> requestedPaths = java.util.Collections.synchronizedList(new ArrayList<>());
    /** The paths of requests that were not waited for yet; "broken" for one that cannot be read. */
    public final BlockingQueue<String> arrivals = new LinkedBlockingQueue<>();
    /** Gives the response for a path, or null for none. */
    public volatile Function<String, String> responder;

    /** Starts to listen on a free port. */
    public StubHttpServer(Function<String, String> answers) throws IOException {
        this.responder = answers;
        socket = new ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                HttpStyleMessage request = read(connection.getInputStream(), new HttpStyleMessageDecoder(1 << 16));
                requestedPaths.add(request.startLinePart(1));
                arrivals.add(request.startLinePart(1));
                String response = responder.apply(request.startLinePart(1));
                if (response != null) {
                    connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
                    connection.close();
                }
            } catch (IOException | HttpStyleMessage.MalformedMessageException e) {
                arrivals.add("broken");
            }
        }
    }

    /** The address that it listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Reads the next message; throws if the connection is closed before it is whole. */
    public static HttpStyleMessage read(InputStream in, HttpStyleMessageDecoder decoder)
            throws IOException, HttpStyleMessage.MalformedMessageException {
        byte[] buffer = new byte[4096];
        for (HttpStyleMessage message = decoder.next(); ; message = decoder.next()) {
            if (message != null) {
                return message;
            }
            int count = in.read(buffer);
            if (count < 0) {
                throw new IOException("closed before a whole message");
            }
            decoder.add(buffer, 0, count);
        }
    }
}
