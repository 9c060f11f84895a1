package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** The network before an edge server: passes on what it is given, and can hold up and then reset one connection. */
final class Network {
    /** One connection through it. */
    private static final class Line {
        final Socket fromBroker;
        final Socket toBox;
        volatile boolean held;

        Line(Socket fromBroker, Socket toBox) {
            this.fromBroker = fromBroker;
            this.toBox = toBox;
        }
    }

    private final Case owner;
    private final int boxPort;
    private final ServerSocket listener;
    private final List<Line> lines = new ArrayList<>();

    Network(Case owner, int boxPort) throws IOException {
        this.owner = owner;
        this.boxPort = boxPort;
        listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "network");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket fromBroker = listener.accept();
                Line line = new Line(fromBroker, new Socket(InetAddress.getLoopbackAddress(), boxPort));
                fromBroker.setTcpNoDelay(true);
                line.toBox.setTcpNoDelay(true);
                synchronized (this) {
                    lines.add(line);
                }
                start(() -> pass(line, fromBroker, line.toBox));
                start(() -> pass(line, line.toBox, fromBroker));
            } catch (IOException e) {
                owner.record("network: %s", e);
                return;
            }
        }
    }

    private void pass(Line line, Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (line.held) {
                    owner.record("network: %d bytes held up", count); // and lost with the reset
                } else {
                    out.write(buffer, 0, count);
                }
            }
            to.close();
        } catch (IOException e) {
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it was closed before
        }
    }

    private synchronized Line line(int portAtBox) {
        return lines.stream().filter(l -> l.toBox.getLocalPort() == portAtBox).findFirst().orElseThrow();
    }

    /** From now on nothing passes on the connection that has this port at the box's other side. */
    void hold(int portAtBox) {
        line(portAtBox).held = true;
        owner.record("network: a connection stands still");
    }

    /** The connection is reset, at both sides. */
    void reset(int portAtBox) throws IOException {
        Line line = line(portAtBox);
        owner.record("network: that connection is reset");
        line.fromBroker.setSoLinger(true, 0);
        line.toBox.setSoLinger(true, 0);
        line.fromBroker.close();
        line.toBox.close();
    }
}
