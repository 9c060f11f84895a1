package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director;
import dockshed.Director.Actions;
import dockshed.Director.Outcome;
import dockshed.Director.Request;
import dockshed.core.Finder.Suspicion;
import dockshed.core.Finder.Verdict;
import dockshed.core.Stage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The gate before a scripted module and broker; cuts and turns by themselves. */
class GateTest {
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
        public void rate(String request, int rung) {}

        @Override
        public void move(String request) {}

        @Override
        public void probe(String server) {}

        @Override
        public void tell(byte[] message) {}

        @Override
        public void timer(String key, long at) {}
    }

    private final Book book = new Book();
    private final Stage module = new Stage();
    private final List<News> told = new ArrayList<>();
    private View view = View.ALONE;
    private Actions inner;
    private final Gate gate = new Gate(module.settings, () -> view, told::add, book, a -> {
        inner = a;
        return module;
    });

    private static View view(long at, double share, long until, int cut, Map<Integer, List<Row>> words) {
        return new View(at, true, List.of(0, 1, 2), share, share, 0.1, until, cut, 30, words, Map.of());
    }

    private void ask(long at, String id, String cls, String viewer) {
        module.onRequest = r -> inner.send(r.id(), "a", 0);
        gate.request(at, new Request(id, cls, viewer, "t", 3 * S, 0, 0, 3, 4, false, false, false));
    }

    @Test
    void underTheCutARequestIsRefusedAtOnceAndWhatIsWorthMorePasses() {
        view = view(10 * S, 1, 20 * S, Cut.step(1, 0) << Cut.HASH_BITS, Map.of());
        ask(10 * S, "1", "safe", "v1");
        ask(10 * S, "2", "paid", "v1");
        assertTrue(book.did.get(0).matches("refuse 1 [1-9][0-9]+"), book.did.get(0));
        assertEquals("send 2", book.did.get(1));
    }

    @Test
    void theSameViewerIsToldTheSamePlaceAtEachBrokerAndGainsNothingNextDoor() {
        int refused = 0;
        for (int i = 0; i < 200; i++) {
            Request r = new Request("1", "safe", "v" + i, "t", 3 * S, 0, 0, 3, 4, false, false, false);
            Request again = new Request("1", "safe", "v" + i, "t", 3 * S, 0, 0, 3, 4, true, false, false);
            long place = Cut.appointment(Mix.of("v" + i), 10 * S, Gate.SOONEST, 2 * S);
            boolean early = place > 700_000 && place < 1_400_000;
            boolean under = broker(10 * S).underCut(10 * S, r);
            assertEquals(under, broker(10 * S).underCut(10 * S, r));
            refused += under ? 1 : 0;
            if (early && under) {
                assertTrue(broker(10 * S).underCut(10 * S, again), "let in next door, before its time");
                assertFalse(broker(10 * S + place).underCut(10 * S + place, again), "refused though it kept its time");
            }
        }
        assertTrue(refused > 60 && refused < 140, "refused " + refused);
    }

    /** A broker of its own, with a cut through the cheapest fresh ones. */
    private Gate broker(long at) {
        View cut = view(at, 1, at + S, (Cut.step(0, 0) << Cut.HASH_BITS) + 1000, Map.of());
        return new Gate(module.settings, () -> cut, told::add, new Book(), a -> module);
    }

    @Test
    void placesOfReturnAreWithinTheLongestTimeAndSpreadOverIt() {
        int[] parts = new int[4];
        for (int i = 0; i < 1000; i++) {
            long back = Cut.appointment(Mix.of("v" + i), 123_456_789L, Gate.SOONEST, 2 * S);
            assertTrue(back >= Gate.SOONEST && back <= 2 * S);
            parts[(int) Math.min(3, back * 4 / (2 * S))]++;
        }
        assertTrue(parts[1] > 200 && parts[2] > 200 && parts[3] > 200);
        assertEquals(0, Cut.appointment(1, 5, Gate.SOONEST, 0), "no advice may be given");
    }

    @Test
    void theHashTurnsSoThatNobodyIsLastForLong() {
        int moved = 0;
        for (int i = 0; i < 100; i++) {
            int before = Cut.rank(0, Mix.of("v" + i), 10 * S);
            assertEquals(before, Cut.rank(0, Mix.of("v" + i), 11 * S));
            moved += Math.abs(before - Cut.rank(0, Mix.of("v" + i), 10 * S + Cut.TURNS)) > 50 ? 1 : 0;
        }
        assertTrue(moved > 80);
    }

    @Test
    void viewersWithoutANameAreNotAllJudgedAsOne() {
        int under = 0;
        for (int i = 0; i < 100; i++) {
            under += broker(10 * S)
                            .underCut(
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
    void aViewThatIsTooOldIsNone() {
        view = view(10 * S, 0.01, 20 * S, Cut.MOST - 1, Map.of());
        ask(10 * S + View.STALE + 1, "1", "safe", "v1");
        assertEquals("send 1", book.did.get(0), "acts on what a loop that stalls knew");
        assertEquals(View.UNSHARED, inner.newcomers());
    }

    @Test
    void aLeaseThatIsOverIsNotUsedHoweverFreshTheView() {
        view = view(10 * S, 0.6, 11 * S, 0, Map.of());
        ask(10 * S, "1", "safe", "v1");
        assertEquals(0.6, inner.newcomers());
        ask(11 * S, "2", "safe", "v1");
        assertEquals(0.1, inner.newcomers());
    }

    @Test
    void furtherAttemptsKeepToTheShareWhateverTheOthersClaimToCarry() {
        view = new View(10 * S, true, List.of(0), 1, 1, 1, 20 * S, 0, 1e6, Map.of(), Map.of());
        module.onOutcome = id -> {
            if (inner.mayTryAgain()) {
                inner.send(id, "b", 0);
            } else {
                inner.refuse(id, 0);
            }
        };
        for (int i = 0; i < 100; i++) {
            ask(10 * S + i, "f" + i, "safe", "v" + i);
            gate.outcome(10 * S + i, "f" + i, 0, "a", Outcome.MOOT, false, Director.LoadReport.NONE);
        }
        assertTrue(gate.counts().attempts <= 51, "further attempts: " + gate.counts().attempts);
        assertTrue(gate.counts().attempts >= 40);
    }

    @Test
    void figuresAreHandedOverAndCountWhatTheModuleFoundNoRoomFor() {
        module.onRequest = r -> inner.refuse(r.id(), 0);
        gate.request(10 * S, new Request("1", "safe", "v", "t", 3 * S, 0, 0, 3, 4, false, false, false));
        gate.timer(10 * S + Gate.EVERY, "fleet");
        gate.request(11 * S, new Request("2", "paid", "v", "t", 3 * S, 0, 0, 3, 4, false, false, false));
        gate.timer(11 * S + Gate.EVERY, "fleet");
        News.Figures f = (News.Figures) told.get(0);
        assertEquals(1, f.tries()[Cut.step(1, 0)]);
        assertEquals(1, f.unfit());
    }

    @Test
    void aBoxThatAnotherFoundDownIsPassedOverForAWhile() {
        int box = Mix.of("a");
        Row down = new Row(1, Row.BOX, box, 1, 1, 10 * S, new byte[] {Probes.DOWN});
        view = view(10 * S, 1, 20 * S, 0, Map.of(box, List.of(down)));
        gate.connected(10 * S);
        assertTrue(inner.shunned("a"));
        gate.connected(10 * S + Probes.HOLD);
        assertFalse(inner.shunned("a"));
        gate.shun("b", true);
        assertTrue(inner.shunned("b"));
    }

    @Test
    void brokersTakeTurnsAtABoxAndTwoFindingsSettleIt() {
        List<Integer> living = List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
        int box = Mix.of("x");
        List<Integer> order = Probes.order(living, box);
        long now = 100 * S;
        for (int i = 0; i < 10; i++) {
            Verdict v = Probes.verdict(now, order.get(i), living, box, List.of(), new Suspicion(now, now - S, 0, 0));
            assertEquals(i == 0 ? Verdict.TRY : Verdict.WAIT, v);
        }
        assertEquals(
                Verdict.TRY,
                Probes.verdict(
                        now + Probes.TURN, order.get(1), living, box, List.of(), new Suspicion(now, now - S, 0, 0)),
                "the first one is dead or cut off");
        Row one = new Row(order.get(0), Row.BOX, box, 1, 1, now, new byte[] {Probes.DOWN});
        Row two = new Row(order.get(1), Row.BOX, box, 1, 1, now, new byte[] {Probes.DOWN});
        Suspicion s = new Suspicion(now, now - S, 0, 0);
        assertEquals(Verdict.WAIT, Probes.verdict(now + 1, order.get(5), living, box, List.of(one), s), "one may lie");
        assertEquals(Verdict.DOWN, Probes.verdict(now + 1, order.get(5), living, box, List.of(one, two), s));
        assertEquals(
                Verdict.DOWN,
                Probes.verdict(now + 1, order.get(1), living, box, List.of(one), new Suspicion(now, now - S, now, 1)),
                "with its own trial");
        assertEquals(
                Verdict.WAIT,
                Probes.verdict(
                        now + 1, order.get(5), living, box, List.of(one, two), new Suspicion(now, now + 1, 0, 0)),
                "it has given a sign of life since");
        Row up = new Row(order.get(0), Row.BOX, box, 1, 2, now, new byte[] {Probes.UP});
        assertEquals(Verdict.UP, Probes.verdict(now + 1, order.get(5), living, box, List.of(up, two), s));
        assertEquals(
                Verdict.TRY,
                Probes.verdict(
                        now + Probes.LONGEST,
                        order.get(5),
                        living,
                        box,
                        List.of(new Row(
                                order.get(0), Row.BOX, box, 1, 3, now + Probes.LONGEST, new byte[] {Probes.UP})),
                        s),
                "one that says so for ever is not believed for ever");
    }

    @Test
    void theCutInForceIsTheMedianSoOneBrokerDoesNotMoveIt() {
        assertEquals(500, Cut.inForce(List.of(500, 510, Cut.MOST, 490, 505)) / 10 * 10);
        assertEquals(0, Cut.inForce(List.of(0, 0, Cut.MOST)));
        assertEquals(0, Cut.inForce(List.of()));
    }
}
