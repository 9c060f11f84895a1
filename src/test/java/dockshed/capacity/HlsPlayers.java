package dockshed.capacity;

import dockshed.net.HttpStyleMessage;
import dockshed.net.Net;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** HLS players with one connection and one session each, which fetch their live media playlist on demand. */
final class HlsPlayers implements AutoCloseable {

    /** Fetches that a player may have open; the broker accepts 32 open requests on a connection. */
    private static final int MAX_OPEN_FETCHES = 30;

    private static final int RETRY_DELAY_MILLIS = 500;

    private final Net net = new Net("players");
    private final List<Player> players = new ArrayList<>();
    private final InetSocketAddress broker;
    private final CountDownLatch ready;
    private volatile OpenLoop load;

    /** Connects players to an HLS front; they request their sessions. */
    HlsPlayers(InetSocketAddress broker, int count) {
        this.broker = broker;
        ready = new CountDownLatch(count);
        for (int number = 0; number < count; number++) {
            Player player = new Player(number);
            players.add(player);
            player.connect();
        }
    }

    /** Waits until all players have a session; false if that takes longer. */
    boolean awaitReady(long seconds) throws InterruptedException {
        return ready.await(seconds, TimeUnit.SECONDS);
    }

    /** Counts deliveries from now on for this load. */
    void setLoad(OpenLoop newLoad) {
        load = newLoad;
    }

    /** Has the next player fetch its playlist, for the delivery with this number; always true. */
    boolean fetch(int delivery) {
        Player player = players.get(delivery % players.size());
        OpenLoop currentLoad = load;
        net.loop().execute(() -> player.fetch(currentLoad, delivery));
        return true;
    }

    @Override
    public void close() {
        net.close();
    }

    private record Fetch(OpenLoop load, int delivery) {}

    private final class Player implements ClientConnection.Listener {
        private final int number;
        private final ArrayDeque<Fetch> open = new ArrayDeque<>();
        private ClientConnection connection;
        private byte[] request; // null: no session yet

        Player(int number) {
            this.number = number;
        }

        void connect() {
            ClientConnection.open(net, broker, this);
        }

        void fetch(OpenLoop currentLoad, int delivery) {
            if (connection == null || open.size() >= MAX_OPEN_FETCHES) {
                return; // the delivery counts as lost
            }
            open.add(new Fetch(currentLoad, delivery));
            connection.write(request);
        }

        @Override
        public void connected(ClientConnection to) {
            to.write(get("/lessons/live/master.m3u8?class=" + TestbedFiles.SESSION_CLASS + "&viewer=v" + number));
        }

        @Override
        public void message(ClientConnection from, HttpStyleMessage message) {
            if (request == null) {
                startSession(from, message);
                return;
            }
            Fetch fetch = open.poll();
            if (fetch != null && message.status() == 200) {
                fetch.load().delivered(fetch.delivery());
            }
        }

        private void startSession(ClientConnection from, HttpStyleMessage message) {
            if (message.status() != 200) {
                net.loop().schedule(() -> connected(from), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            String media = message.bodyText()
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .findFirst()
                    .orElseThrow();
            request = get(media);
            connection = from;
            ready.countDown();
        }

        @Override
        public void closed(ClientConnection gone) {
            connection = null;
            open.clear();
            if (request == null) {
                net.loop().schedule(this::connect, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private static byte[] get(String target) {
        return ("GET " + target + " HTTP/1.1\r\nHost: broker\r\n\r\n").getBytes(StandardCharsets.UTF_8);
    }
}
