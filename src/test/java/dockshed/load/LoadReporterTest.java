package dockshed.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.Effect;
import dockshed.Director.Ladder;
import dockshed.Director.Limits;
import dockshed.Director.ListScope;
import dockshed.Director.Outcome;
import dockshed.Director.Prices;
import dockshed.Director.Rules;
import dockshed.Director.Server;
import dockshed.Director.ServerKind;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.Director.State;
import dockshed.choice.Choice;
import dockshed.core.Broker;
import dockshed.core.Front;
import dockshed.core.ServerAdapter;
import dockshed.core.SessionRequest;
import dockshed.core.TimerQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Brokers with the real module and edge servers that do not report their load, on a virtual clock. */
class LoadReporterTest {
    private static final long MILLISECOND_US = 1000;
    private static final long SECOND_US = 1_000_000;
    private static final double LINK_KB_S = 90_000;
    private static final double HIGHEST_RATE_KB_S = 900;

    private final Map<String, Double> demandByServer = new HashMap<>(); // kB a second of all brokers
    private final List<Node> nodes = new ArrayList<>();
    private long now = 1_000 * SECOND_US;

    /** One broker, whose front only counts and whose edge servers answer after 5 ms. */
    private final class Node implements Front, ServerAdapter {
        final TimerQueue timers = new TimerQueue(at -> {});
        final Map<String, Integer> renditions = new HashMap<>();
        final Map<String, String> serverBySession = new HashMap<>();
        final Settings settings;
        final Broker broker;
        final LoadReporter loads;
        int served;
        int refused;
        int atHighestRendition;

        Node(int number, int brokers, int servers, ListScope scope, String kind, int streams, double uplink) {
            settings = new Settings(
                    number,
                    brokers,
                    "east",
                    List.of(new SessionClass("lesson", Effect.SAFE, SECOND_US, 3 * SECOND_US, 1, 1, 0, 1, 0)),
                    List.of(new ServerKind("std", streams)),
                    new Ladder(
                            List.of(200.0, HIGHEST_RATE_KB_S),
                            List.of(.2, 1.0),
                            servers * LINK_KB_S,
                            LINK_KB_S,
                            uplink,
                            1,
                            3,
                            0,
                            7,
                            500_000),
                    new Limits(
                            3, false, true, 250 * MILLISECOND_US, 2 * SECOND_US, 500 * MILLISECOND_US, 3 * SECOND_US),
                    new Rules(SECOND_US, 0.4, 12 * SECOND_US, 2.5, 2 * SECOND_US, 0, 0, 0),
                    new Prices(0, 0, 0, 0),
                    List.of());
            broker = new Broker(settings, a -> new Choice(settings, 7 + number, a), m -> {}, timers);
            loads = new LoadReporter(broker, timers, settings);
            List<Server> list = new ArrayList<>();
            for (int index = 0; index < servers; index++) {
                list.add(new Server("box" + index, "east", kind, index % 3, State.UP, 1, 0));
            }
            loads.updateServers(list);
            broker.serversChanged(now, "eureka", scope, list);
            nodes.add(this);
        }

        Settings settings() {
            return settings;
        }

        void request(int index) {
            broker.request(
                    now,
                    0,
                    this,
                    this,
                    new SessionRequest(
                            index + "@" + nodes.indexOf(this),
                            "lesson",
                            "v" + index,
                            "t",
                            3 * SECOND_US,
                            60 * SECOND_US,
                            0,
                            3,
                            1,
                            false,
                            false,
                            false,
                            ""));
        }

        private void setRate(String name, String server, int rendition) {
            Integer previous = renditions.put(name, rendition);
            demandByServer.merge(
                    server,
                    (rendition > 0 ? HIGHEST_RATE_KB_S : 200)
                            - (previous == null ? 0 : previous > 0 ? HIGHEST_RATE_KB_S : 200),
                    Double::sum);
            atHighestRendition += (rendition > 0 ? 1 : 0) - (previous != null && previous > 0 ? 1 : 0);
        }

        @Override
        public void setUp(String server, SetUp s) {
            timers.schedule(now + 5 * MILLISECOND_US, t -> {
                broker.setUpAnswered(t, server, s.name(), "");
                serverBySession.put(s.name(), server);
                setRate(s.name(), server, s.highestRendition());
                loads.sessionStarted(t, server, s.name(), s.className(), s.highestRendition());
            });
        }

        @Override
        public void setRendition(String server, String name, int rendition) {
            loads.renditionChanged(now, name, rendition);
            setRate(name, server, rendition);
        }

        @Override
        public void sessionEnded(String server, String name) {
            loads.sessionEnded(now, name);
            demandByServer.merge(server, renditions.remove(name) > 0 ? -HIGHEST_RATE_KB_S : -200, Double::sum);
        }

        @Override
        public void served(long connection, String name, Grant granted) {
            served++;
        }

        @Override
        public void refused(long connection, String name, long comeBack) {
            refused++;
        }

        @Override
        public void cancelSetUp(String server, String name) {}

        @Override
        public void release(String server, String name) {}

        @Override
        public void setHasActiveSessions(String server, boolean sessions) {}

        @Override
        public void failed(long connection, String name, boolean late) {}

        @Override
        public void sessionEnded(long connection, String name, Outcome outcome) {}

        @Override
        public void moved(long connection, String name) {}

        @Override
        public boolean needsConnection() {
            return false;
        }
    }

    private void advanceTime(long micros) {
        long end = now + micros;
        for (long next = nextTimer(); next <= end; next = nextTimer()) {
            now = Math.max(now, next);
            nodes.forEach(node -> node.broker.runDueTimers(now));
        }
        now = end;
    }

    private long nextTimer() {
        return nodes.stream().mapToLong(node -> node.timers.nextDue()).min().orElse(TimerQueue.NEVER);
    }

    /** Sends requests 50 ms apart, to each broker in turn. */
    private void requestSessions(int viewers) {
        for (int index = 0; index < viewers; index++) {
            nodes.get(index % nodes.size()).request(viewers * 1000 + index);
            advanceTime(50 * MILLISECOND_US);
        }
    }

    @Test
    void oneBrokerServes150ViewersOnFourServersWithoutReports() {
        // Guards against refusals where no load is reported: such a link counted as nearly full, and only 4 of 150
        // viewers were served.
        Node node = new Node(0, 1, 4, ListScope.SNAPSHOT, "std", 200, 4 * LINK_KB_S);
        requestSessions(150);
        assertEquals(150, node.served);
        assertTrue(node.atHighestRendition >= 140, "at the highest rendition: " + node.atHighestRendition);
    }

    @Test
    void oneBrokerFillsAServerAtTheHighestRenditionAndNoFurther() {
        Node node = new Node(0, 1, 1, ListScope.SNAPSHOT, "std", 200, LINK_KB_S * 2);
        requestSessions(150);
        advanceTime(10 * SECOND_US);
        assertTrue(
                node.atHighestRendition * HIGHEST_RATE_KB_S >= 0.85 * LINK_KB_S,
                "highest rendition: " + node.atHighestRendition);
        assertTrue(demandByServer.get("box0") <= LINK_KB_S, "demand: " + demandByServer);
        assertTrue(
                node.refused > 0 || node.atHighestRendition < node.served,
                "beyond that, viewers are refused or sessions reduced");
    }

    @Test
    void twoBrokersTogetherDoNotOverloadAServer() {
        new Node(0, 2, 1, ListScope.SNAPSHOT, "std", 200, LINK_KB_S * 2);
        new Node(1, 2, 1, ListScope.SNAPSHOT, "std", 200, LINK_KB_S * 2);
        for (int index = 0; index < 400; index++) {
            nodes.get(index % 2).request(index);
            advanceTime(20 * MILLISECOND_US);
            assertTrue(
                    demandByServer.getOrDefault("box0", 0.0) <= 1.1 * LINK_KB_S,
                    "after " + index + ": " + demandByServer);
        }
        assertTrue(demandByServer.get("box0") >= 0.7 * LINK_KB_S, "demand: " + demandByServer);
    }

    @Test
    void listFromBeforeARestartIsPacedUntilItsServersMustBeWarm() {
        // A server on such a list may have just started (rule 4): it is only filled in the course of the warm-up.
        Node node = new Node(0, 1, 4, ListScope.DISK, "std", 200, 4 * LINK_KB_S);
        requestSessions(150);
        assertTrue(node.served >= 120, "served: " + node.served);
        advanceTime(12 * SECOND_US);
        node.served = 0;
        requestSessions(50);
        assertEquals(50, node.served);
    }

    @Test
    void serverOfAnUnknownKindServesMoreThanOneStream() {
        // Guards against a configuration file without a flavor: such a server was given a single session.
        Node node = new Node(0, 1, 1, ListScope.SNAPSHOT, "", 200, LINK_KB_S * 2);
        requestSessions(60);
        assertEquals(60, node.served);
    }

    @Test
    void reportOfAServerCountsUntilItExpires() {
        Node node = new Node(0, 1, 1, ListScope.SNAPSHOT, "std", 200, LINK_KB_S * 2);
        node.loads.loadHeaderReceived(now, "box0", "TEXT cpu_utilization=0.1, named_metrics.link=0.95");
        requestSessions(60);
        assertTrue(node.refused > 0, "the server reported that it is full");
        advanceTime(EstimatedLoads.REPORT_VALIDITY_US + SECOND_US);
        node.refused = 0;
        requestSessions(20);
        assertEquals(0, node.refused, "the report has expired");
    }

    @Test
    void endedSessionsLeaveNoDemand() {
        EstimatedLoads loads =
                new EstimatedLoads(new Node(0, 1, 1, ListScope.SNAPSHOT, "std", 5, LINK_KB_S).settings());
        loads.updateServers(List.of(new Server("a", "east", "std", 0, State.UP, 1, 0)));
        loads.sessionStarted(now, "a", "s", "lesson", 1);
        loads.sessionStarted(now, "a", "s", "lesson", 1); // reported twice, counted once
        assertEquals(HIGHEST_RATE_KB_S / LINK_KB_S, loads.linkShare(now, "a", now), 1e-9);
        assertEquals(0, loads.linkShare(now, "a", now - SECOND_US), 1e-9, "no demand a second ago");
        loads.renditionChanged(now + SECOND_US, "s", 0);
        assertEquals(200 / LINK_KB_S, loads.linkShare(now + SECOND_US, "a", now + SECOND_US), 1e-9);
        loads.sessionEnded(now + SECOND_US, "s");
        loads.sessionEnded(now + SECOND_US, "s");
        assertEquals(0, loads.linkShare(now + SECOND_US, "a", now + SECOND_US), 1e-9);
        assertEquals(List.of(), loads.sessionNames());
    }
}
