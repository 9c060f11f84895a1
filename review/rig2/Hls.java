package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for HLS edge servers (RFC 9112, RFC 8216) and for players. */
final class Hls {
    static final String MASTER = "#EXTM3U\n"
            + "#EXT-X-STREAM-INF:BANDWIDTH=2040000\nr0.m3u8\n"
            + "#EXT-X-STREAM-INF:BANDWIDTH=3400000\nr1.m3u8\n"
            + "#EXT-X-STREAM-INF:BANDWIDTH=5648000\nr2.m3u8\n"
            + "#EXT-X-STREAM-INF:BANDWIDTH=9392000\nr3.m3u8\n"
            + "#EXT-X-STREAM-INF:BANDWIDTH=15608000\nr4.m3u8\n";
    static final String MEDIA = "#EXTM3U\n#EXT-X-TARGETDURATION:6\n#EXTINF:6,\ns0.ts\n#EXTINF:6,\ns1.ts\n"
            + "#EXTINF:6,\ns2.ts\n#EXTINF:6,\ns3.ts\n#EXTINF:6,\ns4.ts\n#EXT-X-ENDLIST\n";

    private Hls() {}

    static String response(int code, String phrase, String body) {
        return "HTTP/1.1 " + code + " " + phrase + "\r\nContent-Type: application/vnd.apple.mpegurl\r\nContent-Length: "
                + body.length() + "\r\nConnection: close\r\n\r\n" + body;
    }

    /** An HLS edge server; {@code answers} gives the whole response to a path, or null: it never answers. */
    static final class Server {
        final String id;
        final ServerSocket socket;
        final Function<String, String> answers;
        volatile int logged = Integer.MAX_VALUE; // requests that are still recorded

        Server(String id, Function<String, String> answers) throws IOException {
            this.id = id;
            this.answers = answers;
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress("127.0.0.1", 0), 64);
            Rig.daemon(() -> {
                while (true) {
                    try {
                        Socket client = socket.accept();
                        Rig.daemon(() -> serve(client));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        private void serve(Socket client) {
            try {
                String head = readHead(client.getInputStream());
                if (head == null) {
                    client.close();
                    return;
                }
                String path = head.split(" ")[1];
                Matcher session = Pattern.compile("(?i)\r\nsession: *([0-9a-f]+)").matcher(head);
                if (logged-- > 0) {
                    Rig.log(id + " received GET " + path + (session.find() ? " session " + session.group(1) : ""));
                }
                String answer = answers.apply(path);
                if (answer == null) {
                    client.getInputStream().read(); // until the broker closes
                    client.close();
                    return;
                }
                client.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                client.close();
            } catch (IOException e) {
                // the broker has closed
            }
        }

        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"east-hall\",\"flavor\":\"std-3core\","
                            + "\"cell\":0,\"phase\":\"active\",\"size\":3,\"up_since_ms\":0}",
                    id,
                    port());
        }
    }

    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        return head.toString();
    }

    /** What a player received for one request; {@code code} 0: nothing within its time; -1: the connection was closed. */
    record Answer(int code, String body, double afterMs) {}

    /** A player's connection. */
    static final class Player {
        final Socket socket;

        Player(int port) throws IOException {
            socket = new Socket("127.0.0.1", port);
        }

        void send(String path) throws IOException {
            Rig.log("player " + socket.getLocalPort() + " sends GET " + path);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        }

        Answer receive(double waitMs) {
            double from = Rig.ms();
            Answer answer;
            try {
                socket.setSoTimeout((int) Math.max(1, waitMs));
                String head = readHead(socket.getInputStream());
                if (head == null) {
                    answer = new Answer(-1, "", Rig.ms() - from);
                } else {
                    Matcher length = Pattern.compile("(?i)content-length: *([0-9]+)").matcher(head);
                    byte[] body = socket.getInputStream().readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
                    answer = new Answer(
                            Integer.parseInt(head.substring(9, 12)),
                            new String(body, StandardCharsets.UTF_8),
                            Rig.ms() - from);
                }
            } catch (java.net.SocketTimeoutException e) {
                answer = new Answer(0, "", Rig.ms() - from);
            } catch (IOException e) {
                answer = new Answer(-1, "", Rig.ms() - from);
            }
            Rig.log(String.format(
                    Locale.ROOT,
                    "player %d received %s after %.0f ms",
                    socket.getLocalPort(),
                    answer.code() == 0 ? "nothing" : answer.code() < 0 ? "the end of the connection" : "" + answer.code(),
                    answer.afterMs()));
            return answer;
        }

        void close() throws IOException {
            Rig.log("player " + socket.getLocalPort() + " closes its connection");
            socket.close();
        }
    }

    /** A registry with Eureka's REST API, whose instances do not change: full lists, and deltas without changes. */
    static final class Registry {
        final ServerSocket socket;
        final List<Server> servers;

        Registry(List<Server> servers) throws IOException {
            this.servers = servers;
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress("127.0.0.1", 0), 64);
            Rig.daemon(() -> {
                while (true) {
                    try (Socket client = socket.accept()) {
                        String head = readHead(client.getInputStream());
                        if (head != null) {
                            client.getOutputStream()
                                    .write(response(200, "OK", body(head.contains("/apps/delta")))
                                            .getBytes(StandardCharsets.UTF_8));
                        }
                    } catch (IOException e) {
                        // the broker has closed
                    }
                }
            });
        }

        private String body(boolean delta) {
            List<String> instances = servers.stream()
                    .map(server -> "{\"instanceId\":\"" + server.id + "\",\"app\":\"LESSON-BOXES\",\"hostName\":\""
                            + server.id + "\",\"ipAddr\":\"127.0.0.1\",\"status\":\"UP\",\"port\":{\"$\":"
                            + server.port() + ",\"@enabled\":\"true\"},\"metadata\":{\"box\":\"" + server.id
                            + "\",\"zone\":\"east-hall\",\"kind\":\"std-3core\",\"cell\":\"0\",\"weight\":\"3\","
                            + "\"started\":\"0\"},\"actionType\":\"ADDED\"}")
                    .toList();
            return "{\"applications\":{\"versions__delta\":\"1\",\"apps__hashcode\":\"UP_" + servers.size()
                    + "_\",\"application\":["
                    + (delta ? "" : "{\"name\":\"LESSON-BOXES\",\"instance\":[" + String.join(",", instances) + "]}")
                    + "]}}";
        }

        /** The member 'eureka' of the HLS front's file. */
        String json() {
            return "{\"at\":\"127.0.0.1:" + socket.getLocalPort()
                    + "\",\"path\":\"/eureka\",\"app\":\"LESSON-BOXES\",\"poll_ms\":5000}";
        }
    }

    /** Starts a broker with the HLS front; returns the front's port. */
    static int start(Rig.Settings settings, List<Server> servers, Rig.Broker[] started) throws Exception {
        int port = Rig.freePort();
        int hlsPort = Rig.freePort();
        Path file = Rig.folder().resolve("hls.json");
        Files.writeString(
                file,
                "{\"listen\":\"127.0.0.1:" + hlsPort + "\",\"idle_ms\":20000,\"servers\":["
                        + String.join(",", servers.stream().map(Server::json).toList()) + "]}");
        Rig.Broker broker = new Rig.Broker("n0", port, " --hls " + file);
        broker.start(settings.config("n0", port, "{\"rev\":1,\"notices\":[]}", 0));
        if (started != null) {
            started[0] = broker;
        }
        return hlsPort;
    }

    /** The address of the first media playlist of a multivariant playlist. */
    static String firstMediaPlaylist(Answer master) {
        return master.body()
                .lines()
                .filter(line -> line.startsWith("/sessions/"))
                .findFirst()
                .orElseThrow();
    }

    static String lesson(String title, String sessionClass, String viewer, int expiresMs) {
        return "/lessons/" + title + "/master.m3u8?class=" + sessionClass + "&viewer=" + viewer + "&expires_ms=" + expiresMs;
    }
}
