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

/** Brokers with the real module before boxes that report nothing, on a virtual clock. */
class LoadReporterTest {
    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final double LINK = 90_000;
    private static final double TOP = 900;

    private final Map<String, Double> asked = new HashMap<>(); // kB a second by box, of all brokers
    private final List<Node> nodes = new ArrayList<>();
    private long now = 1_000 * S;

    /** One broker: its front only counts, its boxes answer at once. */
    private final class Node implements Front, ServerAdapter {
        final TimerQueue deadlines = new TimerQueue(at -> {});
        final Map<String, Integer> rungs = new HashMap<>();
        final Map<String, String> at = new HashMap<>();
        final Settings s;
        final Broker broker;
        final LoadReporter loads;
        int served;
        int refused;
        int topped;

        Node(int me, int of, int boxes, ListScope scope, String kind, int streams, double uplink) {
            s = new Settings(
                    me,
                    of,
                    "east",
                    List.of(new SessionClass("lesson", Effect.SAFE, S, 3 * S, 1, 1, 0, 1, 0)),
                    List.of(new ServerKind("std", streams)),
                    new Ladder(List.of(200.0, TOP), List.of(.2, 1.0), boxes * LINK, LINK, uplink, 1, 3, 0, 7, 500_000),
                    new Limits(3, false, true, 250 * MS, 2 * S, 500 * MS, 3 * S),
                    new Rules(S, 0.4, 12 * S, 2.5, 2 * S, 0, 0, 0),
                    new Prices(0, 0, 0, 0),
                    List.of());
            broker = new Broker(s, a -> new Choice(s, 7 + me, a), m -> {}, deadlines);
            loads = new LoadReporter(broker, deadlines, s);
            List<Server> list = new ArrayList<>();
            for (int i = 0; i < boxes; i++) {
                list.add(new Server("box" + i, "east", kind, i % 3, State.UP, 1, 0));
            }
            loads.updateServers(list);
            broker.serversChanged(now, "eureka", scope, list);
            nodes.add(this);
        }

        Settings settings() {
            return s;
        }

        void ask(int i) {
            broker.request(
                    now,
                    0,
                    this,
                    this,
                    new SessionRequest(
                            i + "@" + nodes.indexOf(this),
                            "lesson",
                            "v" + i,
                            "t",
                            3 * S,
                            60 * S,
                            0,
                            3,
                            1,
                            false,
                            false,
                            false,
                            ""));
        }

        private void put(String name, String server, int rung) {
            Integer was = rungs.put(name, rung);
            asked.merge(server, (rung > 0 ? TOP : 200) - (was == null ? 0 : was > 0 ? TOP : 200), Double::sum);
            topped += (rung > 0 ? 1 : 0) - (was != null && was > 0 ? 1 : 0);
        }

        @Override
        public void setUp(String server, SetUp s) {
            deadlines.schedule(now + 5 * MS, t -> {
                broker.setUpAnswered(t, server, s.name(), "");
                at.put(s.name(), server);
                put(s.name(), server, s.highestRendition());
                loads.sessionStarted(t, server, s.name(), s.className(), s.highestRendition());
            });
        }

        @Override
        public void setRendition(String server, String name, int rung) {
            loads.renditionChanged(now, name, rung);
            put(name, server, rung);
        }

        @Override
        public void sessionEnded(String server, String name) {
            loads.sessionEnded(now, name);
            asked.merge(server, rungs.remove(name) > 0 ? -TOP : -200, Double::sum);
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

    private void pass(long micros) {
        long end = now + micros;
        for (long next = next(); next <= end; next = next()) {
            now = Math.max(now, next);
            nodes.forEach(n -> n.broker.runDueTimers(now));
        }
        now = end;
    }

    private long next() {
        return nodes.stream().mapToLong(n -> n.deadlines.nextDue()).min().orElse(TimerQueue.NEVER);
    }

    /** Viewers 50 ms apart, in turn at each broker. */
    private void come(int viewers) {
        for (int i = 0; i < viewers; i++) {
            nodes.get(i % nodes.size()).ask(viewers * 1000 + i);
            pass(50 * MS);
        }
    }

    @Test
    void oneBrokerServesAHundredAndFiftyViewersOnFourQuietBoxes() {
        // Guards against a link that nobody reports on being held for nearly full: 4 of 150 were served.
        Node n = new Node(0, 1, 4, ListScope.SNAPSHOT, "std", 200, 4 * LINK);
        come(150);
        assertEquals(150, n.served);
        assertTrue(n.topped >= 140, "at the top rung: " + n.topped);
    }

    @Test
    void oneBrokerFillsAQuietBoxWithSessionsAtTheTopRungAndNoFurther() {
        Node n = new Node(0, 1, 1, ListScope.SNAPSHOT, "std", 200, LINK * 2);
        come(150);
        pass(10 * S);
        assertTrue(n.topped * TOP >= 0.85 * LINK, "top rung: " + n.topped);
        assertTrue(asked.get("box0") <= LINK, "asked: " + asked);
        assertTrue(n.refused > 0 || n.topped < n.served, "beyond it some are refused or step down");
    }

    @Test
    void twoBrokersTogetherDoNotOverfillABox() {
        new Node(0, 2, 1, ListScope.SNAPSHOT, "std", 200, LINK * 2);
        new Node(1, 2, 1, ListScope.SNAPSHOT, "std", 200, LINK * 2);
        for (int i = 0; i < 400; i++) {
            nodes.get(i % 2).ask(i);
            pass(20 * MS);
            assertTrue(asked.getOrDefault("box0", 0.0) <= 1.1 * LINK, "after " + i + ": " + asked);
        }
        assertTrue(asked.get("box0") >= 0.7 * LINK, "asked: " + asked);
    }

    @Test
    void aListLastKnownBeforeARestartIsPacedUntilItsBoxesMustBeWarm() {
        // A box on such a list may have started just now (rule 4): its places come over the warm-up.
        Node n = new Node(0, 1, 4, ListScope.DISK, "std", 200, 4 * LINK);
        come(150);
        assertTrue(n.served >= 120, "served: " + n.served);
        pass(12 * S);
        n.served = 0;
        come(50);
        assertEquals(50, n.served);
    }

    @Test
    void aBoxOfAKindThatTheSettingsDoNotNameIsNotHeldForOneStream() {
        // Guards against a file that names no flavor: such a box took one session and no more.
        Node n = new Node(0, 1, 1, ListScope.SNAPSHOT, "", 200, LINK * 2);
        come(60);
        assertEquals(60, n.served);
    }

    @Test
    void whatABoxSaysCountsAndAPromiseIsNeverForgotten() {
        Node n = new Node(0, 1, 1, ListScope.SNAPSHOT, "std", 200, LINK * 2);
        n.loads.loadHeaderReceived(now, "box0", "TEXT cpu_utilization=0.1, named_metrics.link=0.95");
        come(60);
        assertTrue(n.refused > 0, "the box said that it is full");
        pass(EstimatedLoads.REPORT_VALIDITY_US + S);
        n.refused = 0;
        come(20);
        assertEquals(0, n.refused, "and said no more for long");
    }

    @Test
    void theAccountOfEndedSessionsIsEmpty() {
        EstimatedLoads loads = new EstimatedLoads(new Node(0, 1, 1, ListScope.SNAPSHOT, "std", 5, LINK).settings());
        loads.updateServers(List.of(new Server("a", "east", "std", 0, State.UP, 1, 0)));
        loads.sessionStarted(now, "a", "s", "lesson", 1);
        loads.sessionStarted(now, "a", "s", "lesson", 1); // told twice: counted once
        assertEquals(TOP / LINK, loads.linkShare(now, "a", now), 1e-9);
        assertEquals(0, loads.linkShare(now, "a", now - S), 1e-9, "a second ago nothing was asked");
        loads.renditionChanged(now + S, "s", 0);
        assertEquals(200 / LINK, loads.linkShare(now + S, "a", now + S), 1e-9);
        loads.sessionEnded(now + S, "s");
        loads.sessionEnded(now + S, "s");
        assertEquals(0, loads.linkShare(now + S, "a", now + S), 1e-9);
        assertEquals(List.of(), loads.sessionNames());
    }
}
