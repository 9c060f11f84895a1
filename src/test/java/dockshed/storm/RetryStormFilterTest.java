package dockshed.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director;
import dockshed.Director.ListScope;
import dockshed.Director.Outcome;
import dockshed.Director.Request;
import dockshed.Director.Server;
import dockshed.Director.Settings;
import dockshed.Director.State;
import dockshed.core.BrokerHarness;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The part between a module and a broker that the test plays. */
class RetryStormFilterTest {
    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final long T0 = 1_000_000 * S;

    private final BrokerHarness module = new BrokerHarness(); // only the module's side of it is used
    private final List<String> out = new ArrayList<>();
    private final List<Long> told = new ArrayList<>();
    private long unit = 1000;
    private Director.Actions inner;
    private RetryStormFilter damper = damper(module.settings);

    private RetryStormFilter damper(Settings settings) {
        Director.Actions broker = (Director.Actions) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {Director.Actions.class},
                (proxy, method, args) -> switch (method.getName()) {
                    case "retryAfterUnit" -> unit;
                    case "refuse" -> {
                        told.add((Long) args[1]);
                        yield note("refuse " + args[0]);
                    }
                    case "broadcast", "timer" -> null;
                    case "newSessionShare" -> -1.0;
                    case "mayRetry" -> true;
                    default -> note(method.getName() + " " + args[0]);
                });
        return new RetryStormFilter(settings, Terms.DEFAULTS, 1, broker, a -> {
            inner = a;
            return module;
        });
    }

    private Object note(String line) {
        out.add(line);
        return null;
    }

    private void ask(long at, String id, String viewer) {
        damper.request(at, new Request(id, "safe", viewer, "t", 3 * S, 0, 0, 3, 4, false, false, false));
    }

    private void list(long at, long upSince) {
        damper.serversChanged(at, ListScope.SNAPSHOT, List.of(new Server("a", "east", "k", 0, State.UP, 1, upSince)));
    }

    @Test
    void whatTheModuleGivesUpIsAnsweredInTheSameCall() {
        module.onRequest = r -> inner.refuse(r.id(), 2 * S);
        ask(T0, "1", "v");
        assertEquals(List.of("refuse 1"), out);
        assertTrue(told.get(0) >= Terms.DEFAULTS.soonest() && told.get(0) <= 2 * S);
        module.onRequest = r -> inner.fail(r.id());
        ask(T0, "2", "w");
        assertEquals("fail 2", out.get(1));
        assertEquals(1, damper.trackedViewers(), "one that may have run is not told to come again");
    }

    @Test
    void oneThatComesEarlyIsToldTheSameTimeAgain() {
        module.onRequest = r -> inner.refuse(r.id(), 2 * S);
        for (int i = 0; i < 12; i++) { // fills the first slots, so that the time is not the soonest
            ask(T0, "f" + i, "f" + i);
        }
        ask(T0, "1", "v");
        long due = T0 + told.get(12);
        ask(T0 + 100 * MS, "2", "v");
        assertEquals(due, T0 + 100 * MS + told.get(13), 1000);
        assertEquals(1, damper.counts().returnsEarly);
        ask(due, "3", "v");
        assertEquals(1, damper.counts().returnsOnTime);
    }

    @Test
    void aFrontThatCountsInSecondsIsToldWholeOnesWithinTheLongest() {
        unit = S;
        module.onRequest = r -> inner.refuse(r.id(), 2 * S);
        for (int i = 0; i < 200; i++) {
            ask(T0, "r" + i, "v" + i);
        }
        assertTrue(told.stream().allMatch(t -> t == S || t == 2 * S), told.toString());
        assertEquals(2, told.stream().distinct().count(), "not all at one time");
        Settings s = module.settings;
        unit = 3 * S;
        ask(T0, "x", "x");
        assertEquals(0, told.get(200), "a unit over the longest time: no advice");
        unit = 1000;
        damper = damper(new Settings(
                0,
                1,
                "east",
                s.classes(),
                s.kinds(),
                s.ladder(),
                new Director.Limits(5, false, true, 250 * MS, 0, S, 3 * S),
                s.rules(),
                s.prices(),
                s.reportFields()));
        ask(T0, "y", "y");
        assertEquals(0, told.get(201), "settings that allow none");
    }

    @Test
    void aColdFleetsTurnsAreWaitedForAndHopelessOnesRefusedAtOnce() {
        list(T0, T0); // one box of 40 places over 12 s at 0.4: 1.9 turns a second with the aim
        module.onRequest = r -> inner.send(r.id(), "a", 0);
        for (int i = 0; i < 10; i++) {
            ask(T0, "r" + i, "v" + i);
        }
        assertEquals(1, out.stream().filter(l -> l.startsWith("send")).count());
        assertEquals(10, out.size() + damper.queuedRequests(), "answered at once, or waiting for a turn in time");
        // Whoever leaves while it waits was never the module's.
        module.log.clear();
        damper.requestCancelled(T0 + MS, "r1");
        assertTrue(module.log.isEmpty() || damper.queuedRequests() == 0);
        damper.timer(T0 + Terms.DEFAULTS.hold() + 300 * MS, "storm");
        assertEquals(0, damper.queuedRequests());
    }

    @Test
    void theModulesTimersAndMessagesPassThroughAndGarbageDoesNot() {
        damper.timer(T0, "sweep");
        damper.peerMessageReceived(T0, 1, new byte[] {1, 2, 3});
        assertTrue(module.log.containsAll(List.of("module timer sweep", "module told 1")), module.log.toString());
        damper.peerMessageReceived(T0, 1, new byte[] {(byte) StormMessage.MAGIC, 99});
        damper.peerMessageReceived(
                T0, 7, new StormMessage(StormDetector.State.CALM, 250, 1, 1, 0, new int[0], List.of(), false).encode());
        assertEquals(2, damper.counts().messagesDiscarded, "of another version, from nobody in the tier");
        assertEquals(1, module.count("module told"));
    }

    @Test
    void furtherAttemptsStayWithinTheBudget() {
        int[] sent = {0};
        module.onRequest = r -> inner.send(r.id(), "a", 0);
        module.onOutcome = id -> {
            if (inner.mayRetry()) {
                sent[0]++;
                inner.send(id, "a", 0);
            } else {
                inner.refuse(id, 0);
            }
        };
        for (int i = 0; i < 100; i++) {
            ask(T0 + i, "r" + i, "v" + i);
        }
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 100; i++) {
                damper.outcome(T0 + S, "r" + i, round, "a", Outcome.ERROR, false, Director.LoadReport.NONE);
            }
        }
        assertEquals(30, sent[0], "a fifth of a hundred and ten, not three hundred");
        assertTrue(damper.counts().retriesDenied > 0);
    }
}
