package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director;
import dockshed.Director.Actions;
import dockshed.Director.Outcome;
import dockshed.Director.Request;
import dockshed.core.BrokerHarness;
import dockshed.core.ProbeCoordinator.Suspicion;
import dockshed.core.ProbeCoordinator.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The admission filter between a scripted module and a broker, and thresholds, retry times and probe turns on their
 * own. Guards against stale snapshots and expired leases that are still used, and against brokers that decide
 * differently.
 */
class AdmissionFilterTest {
    private static final long SECOND_US = 1_000_000;

    /** Records the actions that a broker is asked for. */
    private static final class RecordingActions implements Actions {
        final List<String> calls = new ArrayList<>();

        @Override
        public void send(String request, String server, long allow) {
            calls.add("send " + request);
        }

        @Override
        public void refuse(String request, long comeBack) {
            calls.add("refuse " + request + " " + comeBack);
        }

        @Override
        public void fail(String request) {
            calls.add("fail " + request);
        }

        @Override
        public void setRendition(String request, int rung) {}

        @Override
        public void move(String request) {}

        @Override
        public void probe(String server) {}

        @Override
        public void broadcast(byte[] message) {}

        @Override
        public void scheduleTimer(String key, long at) {}
    }

    private final RecordingActions recorded = new RecordingActions();
    private final BrokerHarness module = new BrokerHarness();
    private final List<LocalEvent> events = new ArrayList<>();
    private FleetSnapshot snapshot = FleetSnapshot.ALONE;
    private Actions moduleActions;
    private final AdmissionFilter filter =
            new AdmissionFilter(module.settings, () -> snapshot, events::add, recorded, a -> {
                moduleActions = a;
                return module;
            });

    private static FleetSnapshot snapshot(
            long at, double share, long until, int threshold, Map<Integer, List<VersionedEntry>> reports) {
        return new FleetSnapshot(
                at, true, List.of(0, 1, 2), share, share, 0.1, until, threshold, 30, reports, Map.of());
    }

    private void sendRequest(long at, String id, String cls, String viewer) {
        module.onRequest = request -> moduleActions.send(request.id(), "a", 0);
        filter.request(at, new Request(id, cls, viewer, "t", 3 * SECOND_US, 0, 0, 3, 4, false, false, false));
    }

    @Test
    void aRequestBelowTheThresholdIsShedAtOnceAndAMoreValuableOnePasses() {
        snapshot = snapshot(
                10 * SECOND_US,
                1,
                20 * SECOND_US,
                SheddingThreshold.step(1, 0) << SheddingThreshold.HASH_BITS,
                Map.of());
        sendRequest(10 * SECOND_US, "1", "safe", "v1");
        sendRequest(10 * SECOND_US, "2", "paid", "v1");
        assertTrue(recorded.calls.get(0).matches("refuse 1 [1-9][0-9]+"), recorded.calls.get(0));
        assertEquals("send 2", recorded.calls.get(1));
    }

    @Test
    void aClientHasTheSameRetryTimeAtEachBrokerAndGainsNothingAtAnother() {
        int refused = 0;
        for (int i = 0; i < 200; i++) {
            Request request = new Request("1", "safe", "v" + i, "t", 3 * SECOND_US, 0, 0, 3, 4, false, false, false);
            Request again = new Request("1", "safe", "v" + i, "t", 3 * SECOND_US, 0, 0, 3, 4, true, false, false);
            long delay = SheddingThreshold.retryAfter(
                    StableHash.of("v" + i), 10 * SECOND_US, AdmissionFilter.MIN_RETRY_AFTER_US, 2 * SECOND_US);
            boolean early = delay > 700_000 && delay < 1_400_000;
            boolean under = broker(10 * SECOND_US).isShed(10 * SECOND_US, request);
            assertEquals(under, broker(10 * SECOND_US).isShed(10 * SECOND_US, request));
            refused += under ? 1 : 0;
            if (early && under) {
                assertTrue(
                        broker(10 * SECOND_US).isShed(10 * SECOND_US, again),
                        "admitted at another broker before its retry time");
                assertFalse(
                        broker(10 * SECOND_US + delay).isShed(10 * SECOND_US + delay, again),
                        "refused although it kept its retry time");
            }
        }
        assertTrue(refused > 60 && refused < 140, "refused " + refused);
    }

    /** Another broker's filter, with a threshold in the middle of the cheapest fresh requests. */
    private AdmissionFilter broker(long at) {
        FleetSnapshot shedding = snapshot(
                at, 1, at + SECOND_US, (SheddingThreshold.step(0, 0) << SheddingThreshold.HASH_BITS) + 1000, Map.of());
        return new AdmissionFilter(
                module.settings, () -> shedding, events::add, new RecordingActions(), actions -> module);
    }

    @Test
    void retryTimesAreWithinTheLongestTimeAndSpreadOverIt() {
        int[] parts = new int[4];
        for (int i = 0; i < 1000; i++) {
            long back = SheddingThreshold.retryAfter(
                    StableHash.of("v" + i), 123_456_789L, AdmissionFilter.MIN_RETRY_AFTER_US, 2 * SECOND_US);
            assertTrue(back >= AdmissionFilter.MIN_RETRY_AFTER_US && back <= 2 * SECOND_US);
            parts[(int) Math.min(3, back * 4 / (2 * SECOND_US))]++;
        }
        assertTrue(parts[1] > 200 && parts[2] > 200 && parts[3] > 200);
        assertEquals(
                0, SheddingThreshold.retryAfter(1, 5, AdmissionFilter.MIN_RETRY_AFTER_US, 0), "no advice may be given");
    }

    @Test
    void theHashRotatesSoThatNoClientIsLastForLong() {
        int moved = 0;
        for (int i = 0; i < 100; i++) {
            int before = SheddingThreshold.priority(0, StableHash.of("v" + i), 10 * SECOND_US);
            assertEquals(before, SheddingThreshold.priority(0, StableHash.of("v" + i), 11 * SECOND_US));
            moved += Math.abs(before
                                    - SheddingThreshold.priority(
                                            0,
                                            StableHash.of("v" + i),
                                            10 * SECOND_US + SheddingThreshold.HASH_ROTATION_US))
                            > 50
                    ? 1
                    : 0;
        }
        assertTrue(moved > 80);
    }

    @Test
    void clientsWithoutANameAreNotAllShedAsOne() {
        int under = 0;
        for (int i = 0; i < 100; i++) {
            under += broker(10 * SECOND_US)
                            .isShed(
                                    10 * SECOND_US,
                                    new Request(
                                            Integer.toHexString(i),
                                            "safe",
                                            "",
                                            "t",
                                            3 * SECOND_US,
                                            0,
                                            0,
                                            3,
                                            4,
                                            false,
                                            false,
                                            false))
                    ? 1
                    : 0;
        }
        assertTrue(under > 25 && under < 75, "refused " + under);
    }

    @Test
    void aStaleSnapshotIsNotUsed() {
        snapshot = snapshot(10 * SECOND_US, 0.01, 20 * SECOND_US, SheddingThreshold.MAX_PRIORITY - 1, Map.of());
        sendRequest(10 * SECOND_US + FleetSnapshot.MAX_AGE_US + 1, "1", "safe", "v1");
        assertEquals("send 1", recorded.calls.get(0), "acts on the snapshot of a stalled loop");
        assertEquals(FleetSnapshot.UNSHARED, moduleActions.newSessionShare());
    }

    @Test
    void anExpiredLeaseIsNotUsedHoweverFreshTheSnapshot() {
        snapshot = snapshot(10 * SECOND_US, 0.6, 11 * SECOND_US, 0, Map.of());
        sendRequest(10 * SECOND_US, "1", "safe", "v1");
        assertEquals(0.6, moduleActions.newSessionShare());
        sendRequest(11 * SECOND_US, "2", "safe", "v1");
        assertEquals(0.1, moduleActions.newSessionShare());
    }

    @Test
    void retriesKeepToTheShareWhateverTheOthersClaimToCarry() {
        snapshot = new FleetSnapshot(
                10 * SECOND_US, true, List.of(0), 1, 1, 1, 20 * SECOND_US, 0, 1e6, Map.of(), Map.of());
        module.onOutcome = id -> {
            if (moduleActions.mayRetry()) {
                moduleActions.send(id, "b", 0);
            } else {
                moduleActions.refuse(id, 0);
            }
        };
        for (int i = 0; i < 100; i++) {
            sendRequest(10 * SECOND_US + i, "f" + i, "safe", "v" + i);
            filter.outcome(10 * SECOND_US + i, "f" + i, 0, "a", Outcome.MOOT, false, Director.LoadReport.NONE);
        }
        assertTrue(filter.counts().retries <= 51, "retries: " + filter.counts().retries);
        assertTrue(filter.counts().retries >= 40);
    }

    @Test
    void loadSamplesAreHandedOverAndCountWhatTheModuleRejected() {
        module.onRequest = request -> moduleActions.refuse(request.id(), 0);
        filter.request(
                10 * SECOND_US, new Request("1", "safe", "v", "t", 3 * SECOND_US, 0, 0, 3, 4, false, false, false));
        filter.timer(10 * SECOND_US + AdmissionFilter.LOAD_SAMPLE_PERIOD_US, "fleet");
        filter.request(
                11 * SECOND_US, new Request("2", "paid", "v", "t", 3 * SECOND_US, 0, 0, 3, 4, false, false, false));
        filter.timer(11 * SECOND_US + AdmissionFilter.LOAD_SAMPLE_PERIOD_US, "fleet");
        LocalEvent.LoadSample sample = (LocalEvent.LoadSample) events.get(0);
        assertEquals(1, sample.requests()[SheddingThreshold.step(1, 0)]);
        assertEquals(1, sample.rejected());
    }

    @Test
    void aServerThatAnotherReportedDownIsAvoidedForAWhile() {
        int server = StableHash.of("a");
        VersionedEntry down = new VersionedEntry(
                1, VersionedEntry.HEALTH_REPORT, server, 1, 1, 10 * SECOND_US, new byte[] {HealthProbeSchedule.DOWN});
        snapshot = snapshot(10 * SECOND_US, 1, 20 * SECOND_US, 0, Map.of(server, List.of(down)));
        filter.connected(10 * SECOND_US);
        assertTrue(moduleActions.shouldAvoid("a"));
        filter.connected(10 * SECOND_US + HealthProbeSchedule.REPORT_VALIDITY_US);
        assertFalse(moduleActions.shouldAvoid("a"));
        filter.avoid("b", true);
        assertTrue(moduleActions.shouldAvoid("b"));
    }

    @Test
    void brokersTakeTurnsAtAServerAndTwoReportsSettleIt() {
        List<Integer> present = List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
        int server = StableHash.of("x");
        List<Integer> order = HealthProbeSchedule.order(present, server);
        long now = 100 * SECOND_US;
        for (int i = 0; i < 10; i++) {
            Verdict verdict = HealthProbeSchedule.verdict(
                    now, order.get(i), present, server, List.of(), new Suspicion(now, now - SECOND_US, 0, 0));
            assertEquals(i == 0 ? Verdict.TRY : Verdict.WAIT, verdict);
        }
        assertEquals(
                Verdict.TRY,
                HealthProbeSchedule.verdict(
                        now + HealthProbeSchedule.TURN_US,
                        order.get(1),
                        present,
                        server,
                        List.of(),
                        new Suspicion(now, now - SECOND_US, 0, 0)),
                "the first one is dead or cut off");
        VersionedEntry one = new VersionedEntry(
                order.get(0), VersionedEntry.HEALTH_REPORT, server, 1, 1, now, new byte[] {HealthProbeSchedule.DOWN});
        VersionedEntry two = new VersionedEntry(
                order.get(1), VersionedEntry.HEALTH_REPORT, server, 1, 1, now, new byte[] {HealthProbeSchedule.DOWN});
        Suspicion suspicion = new Suspicion(now, now - SECOND_US, 0, 0);
        assertEquals(
                Verdict.WAIT,
                HealthProbeSchedule.verdict(now + 1, order.get(5), present, server, List.of(one), suspicion),
                "one may be forged");
        assertEquals(
                Verdict.DOWN,
                HealthProbeSchedule.verdict(now + 1, order.get(5), present, server, List.of(one, two), suspicion));
        assertEquals(
                Verdict.DOWN,
                HealthProbeSchedule.verdict(
                        now + 1,
                        order.get(1),
                        present,
                        server,
                        List.of(one),
                        new Suspicion(now, now - SECOND_US, now, 1)),
                "with its own probe");
        assertEquals(
                Verdict.WAIT,
                HealthProbeSchedule.verdict(
                        now + 1, order.get(5), present, server, List.of(one, two), new Suspicion(now, now + 1, 0, 0)),
                "it has given a sign of life since then");
        VersionedEntry up = new VersionedEntry(
                order.get(0), VersionedEntry.HEALTH_REPORT, server, 1, 2, now, new byte[] {HealthProbeSchedule.UP});
        assertEquals(
                Verdict.UP,
                HealthProbeSchedule.verdict(now + 1, order.get(5), present, server, List.of(up, two), suspicion));
        assertEquals(
                Verdict.TRY,
                HealthProbeSchedule.verdict(
                        now + HealthProbeSchedule.MAX_WAIT_US,
                        order.get(5),
                        present,
                        server,
                        List.of(new VersionedEntry(
                                order.get(0),
                                VersionedEntry.HEALTH_REPORT,
                                server,
                                1,
                                3,
                                now + HealthProbeSchedule.MAX_WAIT_US,
                                new byte[] {HealthProbeSchedule.UP})),
                        suspicion),
                "repeated reports that it is up are not trusted for ever");
    }

    @Test
    void theEffectiveThresholdIsTheMedianSoOneBrokerDoesNotMoveIt() {
        assertEquals(
                500,
                SheddingThreshold.effectiveThreshold(List.of(500, 510, SheddingThreshold.MAX_PRIORITY, 490, 505))
                        / 10
                        * 10);
        assertEquals(0, SheddingThreshold.effectiveThreshold(List.of(0, 0, SheddingThreshold.MAX_PRIORITY)));
        assertEquals(0, SheddingThreshold.effectiveThreshold(List.of()));
    }
}
