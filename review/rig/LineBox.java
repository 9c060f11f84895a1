package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound edge server that speaks JSON lines: answers each set-up at once, and ends a session when the case says so. */
final class LineBox {
    private static final Pattern FIELD = Pattern.compile("\"([a-z]+)\":\"([^\"]*)\"");

    final String id;
    /** The time that a set-up takes. */
    private static final long SET_UP_MS = 100;
    /** Between two notes on how full its link is. */
    private static final long REPORT_EVERY_MS = 2_750;

    private final Case owner;
    private final ServerSocket listener;
    private final List<Socket> connections = new ArrayList<>(); // the open ones
    private final List<String> ends = new ArrayList<>(); // sessions that have ended since a connection was last opened
    private final Map<String, Socket> sessions = new HashMap<>(); // that stand, with the connection of the set-up

    LineBox(Case owner, String id) throws IOException {
        this.owner = owner;
        this.id = id;
        listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        start(this::accept);
        start(this::report);
    }

    int port() {
        return listener.getLocalPort();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "box");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                synchronized (this) {
                    connections.add(connection);
                    for (String session : ends) { // an end is sent also on the next connection that is opened
                        send(connection, release(session, 16));
                        owner.record("box %s sent on a new connection: release cause=16 session=%s", id, session);
                    }
                    ends.clear();
                }
                start(() -> read(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Tells at one session how full the link is, on the connection of its set-up or else on any open one. */
    private void report() {
        while (true) {
            try {
                Thread.sleep(REPORT_EVERY_MS);
                synchronized (this) {
                    if (!sessions.isEmpty() && !connections.isEmpty()) {
                        Map.Entry<String, Socket> first = sessions.entrySet().iterator().next();
                        Socket own = first.getValue();
                        send(connections.contains(own) ? own : connections.get(0), note(first.getKey()));
                    }
                }
            } catch (IOException e) {
                owner.record("box %s: note not sent: %s", id, e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String note(String session) {
        return "{\"type\":\"note\",\"id\":\"" + session + "\",\"fields\":{\"note\":\"local\",\"value\":\"0.1\"}}\n";
    }

    private void read(Socket connection) {
        try (connection;
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                handle(line, connection);
            }
        } catch (IOException e) {
            owner.record("box %s: connection ended: %s", id, e);
        }
        synchronized (this) {
            connections.remove(connection);
        }
    }

    private synchronized void handle(String line, Socket connection) throws IOException {
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(line);
        while (matcher.find()) {
            fields.putIfAbsent(matcher.group(1), matcher.group(2));
        }
        String session = fields.get("id");
        String type = fields.getOrDefault("type", "");
        owner.record("box %s got: %s session=%s", id, type, session);
        if (type.equals("setup")) {
            sessions.put(session, connection);
            start(() -> answer(session, connection));
        } else if (type.equals("release") && sessions.remove(session) != null) {
            send(connection, release(session, 31));
        }
    }

    private void answer(String session, Socket connection) {
        try {
            Thread.sleep(SET_UP_MS);
            synchronized (this) {
                send(connection, "{\"type\":\"answer\",\"id\":\"" + session + "\",\"fields\":{},\"sdp\":\"v=0\\r\\no=" + id
                        + "\\r\\n\"}\n" + note(session));
            }
        } catch (IOException | InterruptedException e) {
            owner.record("box %s: set-up not answered: %s", id, e.getMessage());
        }
    }

    private static String release(String session, int cause) {
        return "{\"type\":\"release\",\"id\":\"" + session + "\",\"fields\":{\"load\":\"busy_reqs:1;x0:0.1\"},\"cause\":" + cause
                + "}\n";
    }

    private static void send(Socket connection, String lines) throws IOException {
        connection.getOutputStream().write(lines.getBytes(StandardCharsets.UTF_8));
    }

    /** Number of connections that are open. */
    synchronized int connectionCount() {
        return connections.size();
    }

    /** The port at the other side of the connection on which the session was set up. */
    synchronized int peerPort(String session) {
        return sessions.get(session).getPort();
    }

    /** Whether the session stands here. */
    synchronized boolean holds(String session) {
        return sessions.containsKey(session);
    }

    /** The session has come to its end: told on the connection of its set-up, or else on any open one. */
    synchronized void end(String session) throws IOException {
        Socket connection = sessions.remove(session);
        ends.add(session);
        if (!connections.contains(connection)) {
            connection = connections.get(0);
        }
        send(connection, release(session, 16));
        owner.record("box %s sent: release cause=16 session=%s", id, session);
    }
}
