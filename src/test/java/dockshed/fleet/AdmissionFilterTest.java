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

/** The admission filter between a scripted module and broker; thresholds and probe turns by themselves. */
class AdmissionFilterTest {
    private static final long S = 1_000_000;

    /** A broker that writes down what it is asked for. */
    private static final class Book implements Actions {
        final List<String> did = new ArrayList<>();

        @Override
        public void send(String request, String server, long allow) {
            did.add("send " + request);
        }

        @Override
        public void refuse(String request, long comeBack) {
            did.add("refuse " + request + " " + comeBack);
        }

        @Override
        public void fail(String request) {
            did.add("fail " + request);
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

    private final Book book = new Book();
    private final BrokerHarness module = new BrokerHarness();
    private final List<LocalEvent> events = new ArrayList<>();
    private FleetSnapshot snapshot = FleetSnapshot.ALONE;
    private Actions inner;
    private final AdmissionFilter filter =
            new AdmissionFilter(module.settings, () -> snapshot, events::add, book, a -> {
                inner = a;
                return module;
            });

    private static FleetSnapshot snapshot(
            long at, double share, long until, int threshold, Map<Integer, List<VersionedEntry>> reports) {
        return new FleetSnapshot(
                at, true, List.of(0, 1, 2), share, share, 0.1, until, threshold, 30, reports, Map.of());
    }

    private void ask(long at, String id, String cls, String viewer) {
        module.onRequest = r -> inner.send(r.id(), "a", 0);
        filter.request(at, new Request(id, cls, viewer, "t", 3 * S, 0, 0, 3, 4, false, false, false));
    }

    @Test
    void belowTheThresholdARequestIsShedAtOnceAndWhatIsWorthMorePasses() {
        snapshot = snapshot(10 * S, 1, 20 * S, SheddingThreshold.step(1, 0) << SheddingThreshold.HASH_BITS, Map.of());
        ask(10 * S, "1", "safe", "v1");
        ask(10 * S, "2", "paid", "v1");
        assertTrue(book.did.get(0).matches("refuse 1 [1-9][0-9]+"), book.did.get(0));
        assertEquals("send 2", book.did.get(1));
    }

    @Test
    void theSameClientHasTheSameRetryTimeAtEachBrokerAndGainsNothingNextDoor() {
        int refused = 0;
        for (int i = 0; i < 200; i++) {
            Request r = new Request("1", "safe", "v" + i, "t", 3 * S, 0, 0, 3, 4, false, false, false);
            Request again = new Request("1", "safe", "v" + i, "t", 3 * S, 0, 0, 3, 4, true, false, false);
            long delay = SheddingThreshold.retryAfter(
                    StableHash.of("v" + i), 10 * S, AdmissionFilter.MIN_RETRY_AFTER, 2 * S);
            boolean early = delay > 700_000 && delay < 1_400_000;
            boolean under = broker(10 * S).isShed(10 * S, r);
            assertEquals(under, broker(10 * S).isShed(10 * S, r));
            refused += under ? 1 : 0;
            if (early && under) {
                assertTrue(broker(10 * S).isShed(10 * S, again), "let in next door, before its time");
                assertFalse(broker(10 * S + delay).isShed(10 * S + delay, again), "refused though it kept its time");
            }
        }
        assertTrue(refused > 60 && refused < 140, "refused " + refused);
    }

    /** A broker of its own, with a threshold through the cheapest fresh requests. */
    private AdmissionFilter broker(long at) {
        FleetSnapshot shedding =
                snapshot(at, 1, at + S, (SheddingThreshold.step(0, 0) << SheddingThreshold.HASH_BITS) + 1000, Map.of());
        return new AdmissionFilter(module.settings, () -> shedding, events::add, new Book(), a -> module);
    }

    @Test
    void retryTimesAreWithinTheLongestTimeAndSpreadOverIt() {
        int[] parts = new int[4];
        for (int i = 0; i < 1000; i++) {
            long back = SheddingThreshold.retryAfter(
                    StableHash.of("v" + i), 123_456_789L, AdmissionFilter.MIN_RETRY_AFTER, 2 * S);
            assertTrue(back >= AdmissionFilter.MIN_RETRY_AFTER && back <= 2 * S);
            parts[(int) Math.min(3, back * 4 / (2 * S))]++;
        }
        assertTrue(parts[1] > 200 && parts[2] > 200 && parts[3] > 200);
        assertEquals(
                0, SheddingThreshold.retryAfter(1, 5, AdmissionFilter.MIN_RETRY_AFTER, 0), "no advice may be given");
    }

    @Test
    void theHashTurnsSoThatNobodyIsLastForLong() {
        int moved = 0;
        for (int i = 0; i < 100; i++) {
            int before = SheddingThreshold.priority(0, StableHash.of("v" + i), 10 * S);
            assertEquals(before, SheddingThreshold.priority(0, StableHash.of("v" + i), 11 * S));
            moved += Math.abs(before
                                    - SheddingThreshold.priority(
                                            0, StableHash.of("v" + i), 10 * S + SheddingThreshold.HASH_ROTATION))
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
            under += broker(10 * S)
                            .isShed(
                                    10 * S,
                                    new Request(
                                            Integer.toHexString(i),
                                            "safe",
                                            "",
                                            "t",
                                            3 * S,
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
    void aStaleSnapshotIsNone() {
        snapshot = snapshot(10 * S, 0.01, 20 * S, SheddingThreshold.MAX_PRIORITY - 1, Map.of());
        ask(10 * S + FleetSnapshot.MAX_AGE + 1, "1", "safe", "v1");
        assertEquals("send 1", book.did.get(0), "acts on the snapshot of a stalled loop");
        assertEquals(FleetSnapshot.UNSHARED, inner.newSessionShare());
    }

    @Test
    void aLeaseThatIsOverIsNotUsedHoweverFreshTheSnapshot() {
        snapshot = snapshot(10 * S, 0.6, 11 * S, 0, Map.of());
        ask(10 * S, "1", "safe", "v1");
        assertEquals(0.6, inner.newSessionShare());
        ask(11 * S, "2", "safe", "v1");
        assertEquals(0.1, inner.newSessionShare());
    }

    @Test
    void retriesKeepToTheShareWhateverTheOthersClaimToCarry() {
        snapshot = new FleetSnapshot(10 * S, true, List.of(0), 1, 1, 1, 20 * S, 0, 1e6, Map.of(), Map.of());
        module.onOutcome = id -> {
            if (inner.mayRetry()) {
                inner.send(id, "b", 0);
            } else {
                inner.refuse(id, 0);
            }
        };
        for (int i = 0; i < 100; i++) {
            ask(10 * S + i, "f" + i, "safe", "v" + i);
            filter.outcome(10 * S + i, "f" + i, 0, "a", Outcome.MOOT, false, Director.LoadReport.NONE);
        }
        assertTrue(filter.counts().retries <= 51, "retries: " + filter.counts().retries);
        assertTrue(filter.counts().retries >= 40);
    }

    @Test
    void loadSamplesAreHandedOverAndCountWhatTheModuleRejected() {
        module.onRequest = r -> inner.refuse(r.id(), 0);
        filter.request(10 * S, new Request("1", "safe", "v", "t", 3 * S, 0, 0, 3, 4, false, false, false));
        filter.timer(10 * S + AdmissionFilter.REPORT_PERIOD, "fleet");
        filter.request(11 * S, new Request("2", "paid", "v", "t", 3 * S, 0, 0, 3, 4, false, false, false));
        filter.timer(11 * S + AdmissionFilter.REPORT_PERIOD, "fleet");
        LocalEvent.LoadSample f = (LocalEvent.LoadSample) events.get(0);
        assertEquals(1, f.requests()[SheddingThreshold.step(1, 0)]);
        assertEquals(1, f.rejected());
    }

    @Test
    void aServerThatAnotherReportedDownIsAvoidedForAWhile() {
        int server = StableHash.of("a");
        VersionedEntry down = new VersionedEntry(
                1, VersionedEntry.HEALTH_REPORT, server, 1, 1, 10 * S, new byte[] {HealthProbeSchedule.DOWN});
        snapshot = snapshot(10 * S, 1, 20 * S, 0, Map.of(server, List.of(down)));
        filter.connected(10 * S);
        assertTrue(inner.shouldAvoid("a"));
        filter.connected(10 * S + HealthProbeSchedule.REPORT_MAX_AGE);
        assertFalse(inner.shouldAvoid("a"));
        filter.avoid("b", true);
        assertTrue(inner.shouldAvoid("b"));
    }

    @Test
    void brokersTakeTurnsAtAServerAndTwoReportsSettleIt() {
        List<Integer> present = List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
        int server = StableHash.of("x");
        List<Integer> order = HealthProbeSchedule.order(present, server);
        long now = 100 * S;
        for (int i = 0; i < 10; i++) {
            Verdict v = HealthProbeSchedule.verdict(
                    now, order.get(i), present, server, List.of(), new Suspicion(now, now - S, 0, 0));
            assertEquals(i == 0 ? Verdict.TRY : Verdict.WAIT, v);
        }
        assertEquals(
                Verdict.TRY,
                HealthProbeSchedule.verdict(
                        now + HealthProbeSchedule.TURN,
                        order.get(1),
                        present,
                        server,
                        List.of(),
                        new Suspicion(now, now - S, 0, 0)),
                "the first one is dead or cut off");
        VersionedEntry one = new VersionedEntry(
                order.get(0), VersionedEntry.HEALTH_REPORT, server, 1, 1, now, new byte[] {HealthProbeSchedule.DOWN});
        VersionedEntry two = new VersionedEntry(
                order.get(1), VersionedEntry.HEALTH_REPORT, server, 1, 1, now, new byte[] {HealthProbeSchedule.DOWN});
        Suspicion s = new Suspicion(now, now - S, 0, 0);
        assertEquals(
                Verdict.WAIT,
                HealthProbeSchedule.verdict(now + 1, order.get(5), present, server, List.of(one), s),
                "one may be forged");
        assertEquals(
                Verdict.DOWN,
                HealthProbeSchedule.verdict(now + 1, order.get(5), present, server, List.of(one, two), s));
        assertEquals(
                Verdict.DOWN,
                HealthProbeSchedule.verdict(
                        now + 1, order.get(1), present, server, List.of(one), new Suspicion(now, now - S, now, 1)),
                "with its own trial");
        assertEquals(
                Verdict.WAIT,
                HealthProbeSchedule.verdict(
                        now + 1, order.get(5), present, server, List.of(one, two), new Suspicion(now, now + 1, 0, 0)),
                "it has given a sign of life since");
        VersionedEntry up = new VersionedEntry(
                order.get(0), VersionedEntry.HEALTH_REPORT, server, 1, 2, now, new byte[] {HealthProbeSchedule.UP});
        assertEquals(
                Verdict.UP, HealthProbeSchedule.verdict(now + 1, order.get(5), present, server, List.of(up, two), s));
        assertEquals(
                Verdict.TRY,
                HealthProbeSchedule.verdict(
                        now + HealthProbeSchedule.MAX_WAIT,
                        order.get(5),
                        present,
                        server,
                        List.of(new VersionedEntry(
                                order.get(0),
                                VersionedEntry.HEALTH_REPORT,
                                server,
                                1,
                                3,
                                now + HealthProbeSchedule.MAX_WAIT,
                                new byte[] {HealthProbeSchedule.UP})),
                        s),
                "one that says so for ever is not believed for ever");
    }

    @Test
    void theThresholdInForceIsTheMedianSoOneBrokerDoesNotMoveIt() {
        assertEquals(
                500, SheddingThreshold.inForce(List.of(500, 510, SheddingThreshold.MAX_PRIORITY, 490, 505)) / 10 * 10);
        assertEquals(0, SheddingThreshold.inForce(List.of(0, 0, SheddingThreshold.MAX_PRIORITY)));
        assertEquals(0, SheddingThreshold.inForce(List.of()));
    }
}
