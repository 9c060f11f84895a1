package dockshed.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.Effect;
import dockshed.Director.ListScope;
import dockshed.Director.Request;
import dockshed.Director.Server;
import dockshed.Director.SessionClass;
import dockshed.Director.State;
import dockshed.core.BrokerHarness;
import dockshed.storm.AdmissionQueue.QueuedRequest;
import dockshed.storm.ColdServerLimiter.ServerUsage;
import dockshed.storm.RequestHistory.ReturnKind;
import dockshed.storm.RequestHistory.ViewerRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Each piece of the storm part alone. */
class StormComponentsTest {
    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final long T0 = 1_000_000 * S;
    private static final Terms TERMS = Terms.DEFAULTS;

    // ---- Watch.

    /** Steady arrivals at so many a second, looked at as the part does. */
    private static long arrive(StormDetector w, long from, long to, double perSecond, double repeats, double refused) {
        SplittableRandom random = new SplittableRandom(9);
        long step = (long) (S / perSecond);
        for (long t = from; t < to; t += step) {
            w.recordArrival(t, random.nextDouble() < repeats);
            if (random.nextDouble() < refused) {
                w.recordFailure(t);
            }
            w.evaluate(t);
        }
        return to;
    }

    @Test
    void aStormRisesAndEbbsThroughEveryStateInTurn() {
        StormDetector w = new StormDetector(TERMS, 5, 3);
        List<StormDetector.State> seen = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(1);
        for (long t = T0; t < T0 + 60 * S; t += 20 * MS) {
            boolean storm = t > T0 + 20 * S && t < T0 + 30 * S;
            if (random.nextDouble() < (storm ? 0.8 : 0.1)) {
                w.recordArrival(t, storm && random.nextDouble() < 0.7);
                if (storm && random.nextDouble() < 0.6) {
                    w.recordFailure(t);
                }
            }
            StormDetector.Transition c = w.evaluate(t);
            if (c != null) {
                seen.add(c.to());
                assertTrue(c.toString().contains("arrivals="), "the log line has its figures");
            }
        }
        assertEquals(
                List.of(
                        StormDetector.State.RISING,
                        StormDetector.State.STORM,
                        StormDetector.State.EBBING,
                        StormDetector.State.CALM),
                seen);
    }

    @Test
    void aClockThatStandsStillForASecondIsNoStorm() {
        // After a stall all that waited comes at one moment; a rate over that moment would be without bound.
        StormDetector w = new StormDetector(TERMS, 20, 3);
        arrive(w, T0, T0 + 20 * S, 20, 0.05, 0);
        for (int i = 0; i < 20; i++) {
            w.recordArrival(T0 + 21 * S, false);
        }
        assertNull(w.evaluate(T0 + 21 * S));
        arrive(w, T0 + 21 * S, T0 + 30 * S, 20, 0.05, 0);
        assertEquals(StormDetector.State.CALM, w.state());
    }

    @Test
    void aLastingRiseBecomesUsualInTheEnd() {
        StormDetector w = new StormDetector(TERMS, 5, 1);
        arrive(w, T0, T0 + 10 * S, 5, 0, 0);
        arrive(w, T0 + 10 * S, T0 + 20 * S, 40, 0, 0);
        assertFalse(w.state() == StormDetector.State.CALM);
        arrive(w, T0 + 20 * S, T0 + 200 * S, 40, 0, 0);
        assertEquals(StormDetector.State.CALM, w.state());
    }

    @Test
    void aPeerGoneSilentIsASignAndThenNoNewsAnyMore() {
        StormDetector w = new StormDetector(TERMS, 5, 3);
        w.recordPeerMessage(T0, 1);
        w.recordPeerMessage(T0, 2);
        assertEquals(3, w.activeBrokers(T0 + S));
        w.recordPeerMessage(T0 + 4 * S, 2);
        assertEquals(1, w.silentPeers(T0 + 4 * S));
        assertEquals(2, w.activeBrokers(T0 + 4 * S));
        assertEquals(0, w.silentPeers(T0 + 60 * S));
    }

    // ---- Calendar.

    @Property(tries = 200, seed = "7")
    void returnsNeverExceedTheRoomExpected(
            @ForAll @DoubleRange(min = 0.2, max = 80) double perSecond,
            @ForAll @IntRange(min = 1, max = 400) int refused,
            @ForAll long seed) {
        ReturnCalendar c = new ReturnCalendar(250 * MS);
        SplittableRandom random = new SplittableRandom(seed);
        List<Long> promised = new ArrayList<>();
        for (int i = 0; i < refused; i++) {
            long earliest = T0 + random.nextLong(8 * S);
            long at = c.book(T0, earliest, T0 + 10 * S, perSecond, k -> 0, random.nextDouble());
            if (at >= 0) {
                assertTrue(at >= earliest && at <= T0 + 10 * S);
                promised.add(at);
            }
        }
        for (long k = c.slotOf(T0); k <= c.slotOf(T0 + 10 * S); k++) {
            long end = (k + 1) * 250 * MS;
            long by = promised.stream().filter(at -> at < end).count();
            assertTrue(
                    by <= perSecond * (end - T0) / 1e6 + 1,
                    by + " promised by " + (end - T0) / MS + " ms at " + perSecond);
        }
        assertEquals(promised.size(), c.pending(T0));
        promised.forEach(c::cancel);
        assertEquals(0, c.pending(T0));
    }

    @Test
    void aFullCalendarSaysSoAndPastSlotsAreEmpty() {
        ReturnCalendar c = new ReturnCalendar(250 * MS);
        int placed = 0;
        while (c.book(T0, T0, T0 + 2 * S, 2, k -> 0, 0.5) >= 0) {
            placed++;
        }
        assertTrue(placed >= 4 && placed <= 6, "placed " + placed);
        assertEquals(0, c.pending(T0 + 3 * S));
        assertTrue(c.book(T0 + 100 * S, T0 + 100 * S, T0 + 102 * S, 2, k -> 0, 0.5) >= 0);
        assertEquals(-1, c.book(T0 + 200 * S, T0 + 200 * S, T0 + 201 * S, 2, k -> 9, 0.5), "promised elsewhere");
    }

    // ---- Visits.

    @Test
    void aKeptAppointmentIsToldFromAnEarlyReturn() {
        RequestHistory v = new RequestHistory(TERMS);
        ViewerRecord visit = v.recordRequest(T0, "k");
        assertEquals(ReturnKind.FIRST, v.returnKind(T0, visit));
        visit.refusedAt = T0;
        visit.returnAt = T0 + 1_700 * MS;
        assertEquals(visit, v.recordRequest(T0 + 500 * MS, "k"));
        assertEquals(ReturnKind.EARLY, v.returnKind(T0 + 500 * MS, visit));
        assertEquals(ReturnKind.EARLY, v.returnKind(T0 + 1_500 * MS, visit));
        assertEquals(ReturnKind.KEPT, v.returnKind(T0 + 1_650 * MS, visit));
        assertEquals(ReturnKind.KEPT, v.returnKind(T0 + 1_050 * MS, visit), "by Retry-After: one whole second");
        v.remove("k");
        assertEquals(ReturnKind.FIRST, v.returnKind(T0 + 2 * S, v.recordRequest(T0 + 2 * S, "k")));
    }

    @Test
    void aHundredThousandViewersStayWithinTheBoundsAndAreForgottenInTime() {
        RequestHistory v = new RequestHistory(TERMS);
        for (int i = 0; i < 100_000; i++) {
            v.recordRequest(T0 + i, "viewer " + i);
        }
        assertEquals(RequestHistory.MAX_ENTRIES, v.size());
        assertEquals(100_000 - RequestHistory.MAX_ENTRIES, v.evicted);
        assertEquals(
                ReturnKind.UNTOLD,
                v.returnKind(T0 + S, v.recordRequest(T0 + S, "viewer 99999")),
                "the latest are remembered");
        assertEquals(ReturnKind.FIRST, v.returnKind(T0 + S, v.recordRequest(T0 + S, "viewer 1")));
        v.recordRequest(T0 + TERMS.remember() + 2 * S, "later");
        assertEquals(1, v.size());
    }

    // ---- Waiting room.

    private static QueuedRequest waiter(String id, double worth, long firstTry, ReturnKind standing, long came) {
        ViewerRecord v = new ViewerRecord(firstTry);
        SessionClass c = new SessionClass("c", Effect.SAFE, S, 3 * S, worth, 1, 0, 4, 0);
        return new QueuedRequest(
                new Request(id, "c", "v", "t", 3 * S, 0, 0, 3, 4, false, false, false), c, v, standing, came);
    }

    @Test
    void thoseWorthMoreNearGivingUpAndOnTimeGoFirst() {
        AdmissionQueue r = new AdmissionQueue(TERMS);
        for (QueuedRequest w : List.of(
                waiter("early", 1, T0, ReturnKind.EARLY, T0),
                waiter("fresh", 1, T0, ReturnKind.FIRST, T0),
                waiter("kept", 1, T0, ReturnKind.KEPT, T0),
                waiter("old", 1, T0 - 3 * S, ReturnKind.KEPT, T0),
                waiter("paid", 3, T0, ReturnKind.FIRST, T0))) {
            assertNull(r.offer(T0, w, 100));
        }
        List<String> turns = new ArrayList<>();
        while (!r.isEmpty()) {
            turns.add(r.poll(T0).request().id());
        }
        // The viewer that ignored its time gains nothing by it.
        assertEquals("early", turns.get(4));
        assertEquals(List.of("paid", "old", "kept", "fresh", "early").subList(2, 5), turns.subList(2, 5));
        assertTrue(turns.subList(0, 2).containsAll(List.of("paid", "old")));
    }

    @Test
    void nobodyWaitsInVainAndTheLeastIsPutOutWhereTheRoomIsFull() {
        AdmissionQueue r = new AdmissionQueue(
                new Terms(TERMS.returns(), 1, 0, 250 * MS, 0, S, 400 * MS, 2, 2, 1, 1, S, 1, 1, 1, 0));
        QueuedRequest first = waiter("1", 1, T0, ReturnKind.FIRST, T0);
        assertEquals(first, r.offer(T0, first, 2), "half a second a place is longer than the hold");
        assertNull(r.offer(T0, first, 100));
        assertNull(r.offer(T0, waiter("2", 2, T0, ReturnKind.FIRST, T0), 100));
        assertEquals(first, r.offer(T0, waiter("3", 3, T0, ReturnKind.FIRST, T0), 100));
        assertEquals(List.of(), r.removeExpired(T0 + 399 * MS));
        assertEquals(2, r.removeExpired(T0 + 400 * MS).size());
        assertTrue(r.isEmpty());
    }

    @Test
    void waitingItselfCounts() {
        // Without it a stream of dearer requests would starve the cheap one for as long as it flows.
        AdmissionQueue r = new AdmissionQueue(TERMS);
        QueuedRequest cheap = waiter("cheap", 1, T0, ReturnKind.FIRST, T0);
        r.offer(T0, cheap, 100);
        long t = T0 + 390 * MS;
        assertNull(r.offer(t, waiter("same", 1.3, t, ReturnKind.FIRST, t), 100));
        assertEquals("cheap", r.poll(t).request().id());
    }

    // ---- Budget.

    @Test
    void furtherAttemptsAreAShareOfFreshRequests() {
        RetryBudget b = new RetryBudget(TERMS);
        for (int i = 0; i < 100; i++) {
            b.recordFirstRequest(T0 + i * 50 * MS);
        }
        int granted = 0;
        while (b.mayRetry(T0 + 5 * S)) {
            b.recordRetry(T0 + 5 * S);
            granted++;
        }
        assertEquals(30, granted, "a fifth of a hundred, and one a second for ten");
        assertEquals(1, b.denied);
        assertTrue(b.mayRetry(T0 + 40 * S), "and the window moves on");
    }

    // ---- Cold pace.

    private static Server server(long upSince) {
        return new Server("a", "east", "k", 0, State.UP, 1, upSince);
    }

    @Test
    void aFreshBoxIsSentNoMoreThanItsPaceInAnyWindowAlsoAfterAStall() {
        ColdServerLimiter p = new ColdServerLimiter(new BrokerHarness().settings, TERMS); // one broker, 40 places, 12 s
        p.updateServers(T0, ListScope.SNAPSHOT, List.of(server(T0)));
        List<Long> sent = new ArrayList<>();
        for (long t = T0; t < T0 + 12 * S; t += t == T0 + 5 * S ? S : 5 * MS) { // a clock that stands still for 1 s
            for (int burst = 0; burst < 20 && p.permits(t, "a"); burst++) {
                p.recordSetUp(t, "a");
                sent.add(t);
            }
        }
        for (long from = T0; from < T0 + 10 * S; from += 100 * MS) {
            long begin = from;
            double warmth = 0.4 + 0.6 * (from + 2 * S - T0) / (12.0 * S);
            long n = sent.stream().filter(t -> t >= begin && t < begin + 2 * S).count();
            assertTrue(n <= 1.5 * 40 / 12.0 * warmth * 2 + 1, n + " from " + (from - T0) / MS);
        }
        assertTrue(sent.size() > 0.8 * 40 / 12.0 * 0.7 * 12, "and the pace is used: " + sent.size());
        assertTrue(p.permits(T0 + 13 * S, "a") && Double.isInfinite(p.acceptableRate(T0 + 13 * S, "a")));
    }

    @Test
    void whatPeersSpentIsSpent() {
        ColdServerLimiter p = new ColdServerLimiter(new BrokerHarness().settings, TERMS);
        p.updateServers(T0, ListScope.SNAPSHOT, List.of(server(T0)));
        assertTrue(p.permits(T0 + S, "a"));
        p.applyPeerUsage(T0 + S, 1, List.of(new ServerUsage(ColdServerLimiter.idHash("a"), 50)), false);
        assertFalse(p.permits(T0 + S, "a"));
        assertTrue(p.permits(T0 + 4 * S, "a"), "for the rule's window");
    }

    @Test
    void aListFromBeforeARestartIsColdUntilNewsOrAPeerThatKnows() {
        for (boolean byPeer : List.of(true, false)) {
            ColdServerLimiter p = new ColdServerLimiter(new BrokerHarness().settings, TERMS);
            p.updateServers(T0, ListScope.DISK, List.of(server(0)));
            assertFalse(p.knowsAllCold(T0, 30));
            assertFalse(Double.isInfinite(p.acceptableRate(T0 + S, "a")));
            if (byPeer) {
                p.applyPeerUsage(T0 + S, 1, List.of(), false);
                assertFalse(
                        Double.isInfinite(p.acceptableRate(T0 + S, "a")), "a peer that does not know tells nothing");
                p.applyPeerUsage(T0 + S, 1, List.of(), true);
            } else {
                p.updateServers(T0 + S, ListScope.CHANGES, List.of());
                assertTrue(p.knowsAllCold(T0 + S, 30));
            }
            assertTrue(Double.isInfinite(p.acceptableRate(T0 + S, "a")));
        }
    }

    @Test
    void aBoxThatAPeerKnowsToBeColdIsColdHereAndTheWordDoesNotGoRound() {
        // The list tells of a restart up to 1.5 s late; until then such a box was sent 1.7 times what it could take.
        ColdServerLimiter p = new ColdServerLimiter(new BrokerHarness().settings, TERMS);
        p.updateServers(T0, ListScope.SNAPSHOT, List.of(server(0)));
        assertTrue(Double.isInfinite(p.acceptableRate(T0, "a")));
        p.applyPeerUsage(T0, 1, List.of(new ServerUsage(ColdServerLimiter.idHash("a"), 0)), false);
        assertTrue(Double.isInfinite(p.acceptableRate(T0, "a")), "from one that does not know, it may be want of news");
        p.applyPeerUsage(T0, 1, List.of(new ServerUsage(ColdServerLimiter.idHash("a"), 0)), true);
        assertFalse(Double.isInfinite(p.acceptableRate(T0 + S, "a")));
        assertEquals(List.of(), p.usage(T0 + S, 30), "hearsay is not told on");
        p.applyPeerUsage(T0 + 13 * S, 1, List.of(new ServerUsage(ColdServerLimiter.idHash("a"), 0)), true);
        assertTrue(Double.isInfinite(p.acceptableRate(T0 + 13 * S, "a")), "nor believed again at once");
        p.updateServers(T0 + 30 * S, ListScope.CHANGES, List.of(server(T0 + 30 * S)));
        assertEquals(1, p.usage(T0 + 31 * S, 30).size(), "what the list tells is");
    }

    // ---- Notes.

    @Test
    void aNoteComesThroughAndFitsADatagramAtItsLargest() {
        List<ServerUsage> spent = new ArrayList<>();
        int[] promised = new int[StormMessage.MAX_SLOTS];
        for (int i = 0; i < StormMessage.MAX_SERVERS; i++) {
            spent.add(new ServerUsage(ColdServerLimiter.idHash("box" + i), i * 9));
            promised[i] = i;
        }
        byte[] bytes =
                new StormMessage(StormDetector.State.STORM, 250, 371.4, 12.5, -5, promised, spent, true).encode();
        assertTrue(bytes.length < StormMessage.MAX_BYTES, "bytes " + bytes.length);
        StormMessage n = StormMessage.decode(bytes);
        assertEquals(StormDetector.State.STORM, n.state());
        assertEquals(371.4, n.arrivalRate(), 0.01);
        assertEquals(12.5, n.returnCapacity(), 0.01);
        assertEquals(-5, n.firstSlot());
        assertEquals(29, n.bookedReturns()[29]);
        assertEquals(spent.get(20), n.coldServers().get(20));
        assertEquals(255, n.coldServers().get(29).setUps(), "counts stop there");
        assertTrue(n.knowsAllCold());
    }

    @Property(tries = 500, seed = "11")
    void garbageIsPassedOver(@ForAll @Size(max = 300) byte[] bytes, @ForAll @IntRange(max = 255) int at) {
        StormMessage.decode(bytes); // must not throw
        byte[] good = new StormMessage(
                        StormDetector.State.CALM, 250, 1, 2, 0, new int[] {1, 2}, List.of(new ServerUsage(1, 2)), false)
                .encode();
        for (int cut = 0; cut < good.length; cut++) {
            assertNull(StormMessage.decode(java.util.Arrays.copyOf(good, cut)));
        }
        good[at % good.length] ^= (byte) 0x81;
        StormMessage n = StormMessage.decode(good);
        assertTrue(n == null
                || n.bookedReturns().length <= StormMessage.MAX_SLOTS
                        && n.coldServers().size() <= StormMessage.MAX_SERVERS);
        good = new StormMessage(StormDetector.State.CALM, 250, 1, 2, 0, new int[0], List.of(), false).encode();
        assertNotNull(StormMessage.decode(good));
        good[1]++;
        assertNull(StormMessage.decode(good), "a newer version");
    }

    @Test
    void theWindowForgetsWhatIsPast() {
        SlidingWindowCounter w = new SlidingWindowCounter(100 * MS, 2 * S);
        Map<Long, Integer> all = new HashMap<>();
        SplittableRandom random = new SplittableRandom(2);
        for (long t = T0; t < T0 + 20 * S; t += random.nextLong(700 * MS)) {
            w.add(t, 1);
            all.merge(t / (100 * MS), 1, Integer::sum);
            long newest = t / (100 * MS);
            assertEquals(
                    all.entrySet().stream()
                            .filter(e -> e.getKey() > newest - 20)
                            .mapToInt(Map.Entry::getValue)
                            .sum(),
                    w.sum(t, 2 * S));
        }
    }
}
