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

/**
 * Guards the answers that the filter gives in the place of the decision module: requests left unanswered, return times that
 * change when a viewer returns early, and retries beyond the budget. The test plays both the module and the broker.
 */
class RetryStormFilterTest {
    private static final long MILLISECOND_US = 1000;
    private static final long SECOND_US = 1_000_000;
    private static final long START_US = 1_000_000 * SECOND_US;

    private final BrokerHarness module = new BrokerHarness(); // only its side of the decision module is used
    private final List<String> calls = new ArrayList<>();
    private final List<Long> retryAfters = new ArrayList<>();
    private long retryAfterUnit = 1000;
    private Director.Actions moduleActions;
    private RetryStormFilter filter = filter(module.settings);

    private RetryStormFilter filter(Settings settings) {
        Director.Actions broker = (Director.Actions) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {Director.Actions.class},
                (proxy, method, args) -> switch (method.getName()) {
                    case "retryAfterUnit" -> retryAfterUnit;
                    case "refuse" -> {
                        retryAfters.add((Long) args[1]);
                        yield record("refuse " + args[0]);
                    }
                    case "broadcast", "scheduleTimer" -> null;
                    case "newSessionShare" -> -1.0;
                    case "mayRetry" -> true;
                    default -> record(method.getName() + " " + args[0]);
                });
        return new RetryStormFilter(settings, Terms.DEFAULTS, 1, broker, actions -> {
            moduleActions = actions;
            return module;
        });
    }

    private Object record(String line) {
        calls.add(line);
        return null;
    }

    private void request(long now, String id, String viewer) {
        filter.request(now, new Request(id, "safe", viewer, "t", 3 * SECOND_US, 0, 0, 3, 4, false, false, false));
    }

    private void listServer(long now, long upSince) {
        filter.serversChanged(now, ListScope.SNAPSHOT, List.of(new Server("a", "east", "k", 0, State.UP, 1, upSince)));
    }

    @Test
    void refusalsAndFailuresOfTheModuleAreAnsweredInTheSameCall() {
        module.onRequest = request -> moduleActions.refuse(request.id(), 2 * SECOND_US);
        request(START_US, "1", "v");
        assertEquals(List.of("refuse 1"), calls);
        assertTrue(retryAfters.get(0) >= Terms.DEFAULTS.soonest() && retryAfters.get(0) <= 2 * SECOND_US);
        module.onRequest = request -> moduleActions.fail(request.id());
        request(START_US, "2", "w");
        assertEquals("fail 2", calls.get(1));
        assertEquals(1, filter.trackedViewers(), "a request that may have run gets no return time");
    }

    @Test
    void anEarlyReturnIsGivenTheSameTimeAgain() {
        module.onRequest = request -> moduleActions.refuse(request.id(), 2 * SECOND_US);
        for (int i = 0; i < 12; i++) { // fills the first slots, so that the time is not the shortest
            request(START_US, "f" + i, "f" + i);
        }
        request(START_US, "1", "v");
        long due = START_US + retryAfters.get(12);
        request(START_US + 100 * MILLISECOND_US, "2", "v");
        assertEquals(due, START_US + 100 * MILLISECOND_US + retryAfters.get(13), 1000);
        assertEquals(1, filter.counts().returnsEarly);
        request(due, "3", "v");
        assertEquals(1, filter.counts().returnsOnTime);
    }

    @Test
    void aFrontThatAdvisesInSecondsGetsWholeSecondsUpToTheLongestTime() {
        retryAfterUnit = SECOND_US;
        module.onRequest = request -> moduleActions.refuse(request.id(), 2 * SECOND_US);
        for (int i = 0; i < 200; i++) {
            request(START_US, "r" + i, "v" + i);
        }
        assertTrue(
                retryAfters.stream().allMatch(retryAfter -> retryAfter == SECOND_US || retryAfter == 2 * SECOND_US),
                retryAfters.toString());
        assertEquals(2, retryAfters.stream().distinct().count(), "return times are spread");
        Settings settings = module.settings;
        retryAfterUnit = 3 * SECOND_US;
        request(START_US, "x", "x");
        assertEquals(0, retryAfters.get(200), "no time is advised if the unit exceeds the longest time");
        retryAfterUnit = 1000;
        filter = filter(new Settings(
                0,
                1,
                "east",
                settings.classes(),
                settings.kinds(),
                settings.ladder(),
                new Director.Limits(5, false, true, 250 * MILLISECOND_US, 0, SECOND_US, 3 * SECOND_US),
                settings.rules(),
                settings.prices(),
                settings.reportFields()));
        request(START_US, "y", "y");
        assertEquals(0, retryAfters.get(201), "no time is advised if the settings allow none");
    }

    @Test
    void requestsToAColdFleetAreQueuedOrRefusedAtOnceIfTheyCannotBeAdmittedInTime() {
        listServer(
                START_US,
                START_US); // one server of 40 streams, warm in 12 s from 0.4: 1.9 admissions a second with the aim
        module.onRequest = request -> moduleActions.send(request.id(), "a", 0);
        for (int i = 0; i < 10; i++) {
            request(START_US, "r" + i, "v" + i);
        }
        assertEquals(1, calls.stream().filter(call -> call.startsWith("send")).count());
        assertEquals(10, calls.size() + filter.queuedRequests(), "answered at once, or queued");
        // A request that is cancelled while queued never reaches the module.
        module.log.clear();
        filter.requestCancelled(START_US + MILLISECOND_US, "r1");
        assertTrue(module.log.isEmpty() || filter.queuedRequests() == 0);
        filter.timer(START_US + Terms.DEFAULTS.hold() + 300 * MILLISECOND_US, "storm");
        assertEquals(0, filter.queuedRequests());
    }

    @Test
    void timersAndMessagesOfTheModuleArePassedOnAndInvalidStormMessagesAreNot() {
        filter.timer(START_US, "sweep");
        filter.peerMessageReceived(START_US, 1, new byte[] {1, 2, 3});
        assertTrue(
                module.log.containsAll(List.of("module timer sweep", "module peerMessageReceived 1")),
                module.log.toString());
        filter.peerMessageReceived(START_US, 1, new byte[] {(byte) StormMessage.MAGIC, 99});
        filter.peerMessageReceived(
                START_US,
                7,
                new StormMessage(StormDetector.State.CALM, 250, 1, 1, 0, new int[0], List.of(), false).encode());
        assertEquals(
                2,
                filter.counts().messagesDiscarded,
                "one of another version, one from a broker that is not in the fleet");
        assertEquals(1, module.count("module peerMessageReceived"));
    }

    @Test
    void retriesStayWithinTheBudget() {
        int[] sent = {0};
        module.onRequest = request -> moduleActions.send(request.id(), "a", 0);
        module.onOutcome = requestId -> {
            if (moduleActions.mayRetry()) {
                sent[0]++;
                moduleActions.send(requestId, "a", 0);
            } else {
                moduleActions.refuse(requestId, 0);
            }
        };
        for (int i = 0; i < 100; i++) {
            request(START_US + i, "r" + i, "v" + i);
        }
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 100; i++) {
                filter.outcome(
                        START_US + SECOND_US, "r" + i, round, "a", Outcome.ERROR, false, Director.LoadReport.NONE);
            }
        }
        assertEquals(30, sent[0], "a fifth of 100 first requests and ten more, not 300");
        assertTrue(filter.counts().retriesDenied > 0);
    }
}
