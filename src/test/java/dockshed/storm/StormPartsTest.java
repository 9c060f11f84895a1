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
import dockshed.storm.ColdPace.Spent;
import dockshed.storm.Visits.Standing;
import dockshed.storm.Visits.Visit;
import dockshed.storm.WaitingRoom.Waiter;
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
class StormPartsTest {
    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final long T0 = 1_000_000 * S;
    private static final Terms TERMS = Terms.USUAL;

    // ---- Watch.

    /** Steady arrivals at so many a second, looked at as the part does. */
    private static long arrive(Watch w, long from, long to, double perSecond, double repeats, double refused) {
        SplittableRandom random = new SplittableRandom(9);
        long step = (long) (S / perSecond);
        for (long t = from; t < to; t += step) {
            w.arrived(t, random.nextDouble() < repeats);
            if (random.nextDouble() < refused) {
                w.troubled(t);
            }
            w.look(t);
        }
        return to;
    }

    @Test
    void aStormRisesAndEbbsThroughEveryStateInTurn() {
        Watch w = new Watch(TERMS, 5, 3);
        List<Watch.State> seen = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(1);
        for (long t = T0; t < T0 + 60 * S; t += 20 * MS) {
            boolean storm = t > T0 + 20 * S && t < T0 + 30 * S;
            if (random.nextDouble() < (storm ? 0.8 : 0.1)) {
                w.arrived(t, storm && random.nextDouble() < 0.7);
                if (storm && random.nextDouble() < 0.6) {
                    w.troubled(t);
                }
            }
            Watch.Change c = w.look(t);
            if (c != null) {
                seen.add(c.to());
                assertTrue(c.toString().contains("arrivals="), "the log line has its figures");
            }
        }
        assertEquals(List.of(Watch.State.RISING, Watch.State.STORM, Watch.State.EBBING, Watch.State.CALM), seen);
    }

    @Test
    void aClockThatStandsStillForASecondIsNoStorm() {
        // After a stall all that waited comes at one moment; a rate over that moment would be without bound.
        Watch w = new Watch(TERMS, 20, 3);
        arrive(w, T0, T0 + 20 * S, 20, 0.05, 0);
        for (int i = 0; i < 20; i++) {
            w.arrived(T0 + 21 * S, false);
        }
        assertNull(w.look(T0 + 21 * S));
        arrive(w, T0 + 21 * S, T0 + 30 * S, 20, 0.05, 0);
        assertEquals(Watch.State.CALM, w.state());
    }

    @Test
    void aLastingRiseBecomesUsualInTheEnd() {
        Watch w = new Watch(TERMS, 5, 1);
        arrive(w, T0, T0 + 10 * S, 5, 0, 0);
        arrive(w, T0 + 10 * S, T0 + 20 * S, 40, 0, 0);
        assertFalse(w.state() == Watch.State.CALM);
        arrive(w, T0 + 20 * S, T0 + 200 * S, 40, 0, 0);
        assertEquals(Watch.State.CALM, w.state());
    }

    @Test
    void aPeerGoneSilentIsASignAndThenNoNewsAnyMore() {
        Watch w = new Watch(TERMS, 5, 3);
        w.heard(T0, 1);
        w.heard(T0, 2);
        assertEquals(3, w.living(T0 + S));
        w.heard(T0 + 4 * S, 2);
        assertEquals(1, w.silent(T0 + 4 * S));
        assertEquals(2, w.living(T0 + 4 * S));
        assertEquals(0, w.silent(T0 + 60 * S));
    }

    // ---- Calendar.

    @Property(tries = 200, seed = "7")
    void returnsNeverExceedTheRoomExpected(
            @ForAll @DoubleRange(min = 0.2, max = 80) double perSecond,
            @ForAll @IntRange(min = 1, max = 400) int refused,
            @ForAll long seed) {
        Calendar c = new Calendar(250 * MS);
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
        assertEquals(promised.size(), c.promised(T0));
        promised.forEach(c::cancel);
        assertEquals(0, c.promised(T0));
    }

    @Test
    void aFullCalendarSaysSoAndPastSlotsAreEmpty() {
        Calendar c = new Calendar(250 * MS);
        int placed = 0;
        while (c.book(T0, T0, T0 + 2 * S, 2, k -> 0, 0.5) >= 0) {
            placed++;
        }
        assertTrue(placed >= 4 && placed <= 6, "placed " + placed);
        assertEquals(0, c.promised(T0 + 3 * S));
        assertTrue(c.book(T0 + 100 * S, T0 + 100 * S, T0 + 102 * S, 2, k -> 0, 0.5) >= 0);
        assertEquals(-1, c.book(T0 + 200 * S, T0 + 200 * S, T0 + 201 * S, 2, k -> 9, 0.5), "promised elsewhere");
    }

    // ---- Visits.

    @Test
    void aKeptAppointmentIsToldFromAnEarlyReturn() {
        Visits v = new Visits(TERMS);
        Visit visit = v.come(T0, "k");
        assertEquals(Standing.FIRST, v.standing(T0, visit));
        visit.refusedAt = T0;
        visit.appointed = T0 + 1_700 * MS;
        assertEquals(visit, v.come(T0 + 500 * MS, "k"));
        assertEquals(Standing.EARLY, v.standing(T0 + 500 * MS, visit));
        assertEquals(Standing.EARLY, v.standing(T0 + 1_500 * MS, visit));
        assertEquals(Standing.KEPT, v.standing(T0 + 1_650 * MS, visit));
        assertEquals(Standing.KEPT, v.standing(T0 + 1_050 * MS, visit), "by Retry-After: one whole second");
        v.over("k");
        assertEquals(Standing.FIRST, v.standing(T0 + 2 * S, v.come(T0 + 2 * S, "k")));
    }

    @Test
    void aHundredThousandViewersStayWithinTheBoundsAndAreForgottenInTime() {
        Visits v = new Visits(TERMS);
        for (int i = 0; i < 100_000; i++) {
            v.come(T0 + i, "viewer " + i);
        }
        assertEquals(Visits.MOST, v.size());
        assertEquals(100_000 - Visits.MOST, v.forgotten);
        assertEquals(Standing.UNTOLD, v.standing(T0 + S, v.come(T0 + S, "viewer 99999")), "the latest are remembered");
        assertEquals(Standing.FIRST, v.standing(T0 + S, v.come(T0 + S, "viewer 1")));
        v.come(T0 + TERMS.remember() + 2 * S, "later");
        assertEquals(1, v.size());
    }

    // ---- Waiting room.

    private static Waiter waiter(String id, double worth, long firstTry, Standing standing, long came) {
        Visit v = new Visit(firstTry);
        SessionClass c = new SessionClass("c", Effect.SAFE, S, 3 * S, worth, 1, 0, 4, 0);
        return new Waiter(new Request(id, "c", "v", "t", 3 * S, 0, 0, 3, 4, false, false, false), c, v, standing, came);
    }

    @Test
    void thoseWorthMoreNearGivingUpAndOnTimeGoFirst() {
        WaitingRoom r = new WaitingRoom(TERMS);
        for (Waiter w : List.of(
                waiter("early", 1, T0, Standing.EARLY, T0),
                waiter("fresh", 1, T0, Standing.FIRST, T0),
                waiter("kept", 1, T0, Standing.KEPT, T0),
                waiter("old", 1, T0 - 3 * S, Standing.KEPT, T0),
                waiter("paid", 3, T0, Standing.FIRST, T0))) {
            assertNull(r.offer(T0, w, 100));
        }
        List<String> turns = new ArrayList<>();
        while (!r.isEmpty()) {
            turns.add(r.next(T0).request().id());
        }
        // The viewer that ignored its time gains nothing by it.
        assertEquals("early", turns.get(4));
        assertEquals(List.of("paid", "old", "kept", "fresh", "early").subList(2, 5), turns.subList(2, 5));
        assertTrue(turns.subList(0, 2).containsAll(List.of("paid", "old")));
    }

    @Test
    void nobodyWaitsInVainAndTheLeastIsPutOutWhereTheRoomIsFull() {
        WaitingRoom r =
                new WaitingRoom(new Terms(TERMS.returns(), 1, 0, 250 * MS, 0, S, 400 * MS, 2, 2, 1, 1, S, 1, 1, 1, 0));
        Waiter first = waiter("1", 1, T0, Standing.FIRST, T0);
        assertEquals(first, r.offer(T0, first, 2), "half a second a place is longer than the hold");
        assertNull(r.offer(T0, first, 100));
        assertNull(r.offer(T0, waiter("2", 2, T0, Standing.FIRST, T0), 100));
        assertEquals(first, r.offer(T0, waiter("3", 3, T0, Standing.FIRST, T0), 100));
        assertEquals(List.of(), r.over(T0 + 399 * MS));
        assertEquals(2, r.over(T0 + 400 * MS).size());
        assertTrue(r.isEmpty());
    }

    @Test
    void waitingItselfCounts() {
        // Without it a stream of dearer requests would starve the cheap one for as long as it flows.
        WaitingRoom r = new WaitingRoom(TERMS);
        Waiter cheap = waiter("cheap", 1, T0, Standing.FIRST, T0);
        r.offer(T0, cheap, 100);
        long t = T0 + 390 * MS;
        assertNull(r.offer(t, waiter("same", 1.3, t, Standing.FIRST, t), 100));
        assertEquals("cheap", r.next(t).request().id());
    }

    // ---- Budget.

    @Test
    void furtherAttemptsAreAShareOfFreshRequests() {
        RetryBudget b = new RetryBudget(TERMS);
        for (int i = 0; i < 100; i++) {
            b.fresh(T0 + i * 50 * MS);
        }
        int granted = 0;
        while (b.may(T0 + 5 * S)) {
            b.spent(T0 + 5 * S);
            granted++;
        }
        assertEquals(30, granted, "a fifth of a hundred, and one a second for ten");
        assertEquals(1, b.denied);
        assertTrue(b.may(T0 + 40 * S), "and the window moves on");
    }

    // ---- Cold pace.

    private static Server server(long upSince) {
        return new Server("a", "east", "k", 0, State.UP, 1, upSince);
    }

    @Test
    void aFreshBoxIsSentNoMoreThanItsPaceInAnyWindowAlsoAfterAStall() {
        ColdPace p = new ColdPace(new BrokerHarness().settings, TERMS); // one broker, 40 places, 12 s
        p.members(T0, ListScope.SNAPSHOT, List.of(server(T0)));
        List<Long> sent = new ArrayList<>();
        for (long t = T0; t < T0 + 12 * S; t += t == T0 + 5 * S ? S : 5 * MS) { // a clock that stands still for 1 s
            for (int burst = 0; burst < 20 && p.may(t, "a"); burst++) {
                p.sent(t, "a");
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
        assertTrue(p.may(T0 + 13 * S, "a") && Double.isInfinite(p.takes(T0 + 13 * S, "a")));
    }

    @Test
    void whatPeersSpentIsSpent() {
        ColdPace p = new ColdPace(new BrokerHarness().settings, TERMS);
        p.members(T0, ListScope.SNAPSHOT, List.of(server(T0)));
        assertTrue(p.may(T0 + S, "a"));
        p.heard(T0 + S, 1, List.of(new Spent(ColdPace.hash("a"), 50)), false);
        assertFalse(p.may(T0 + S, "a"));
        assertTrue(p.may(T0 + 4 * S, "a"), "for the rule's window");
    }

    @Test
    void aListFromBeforeARestartIsColdUntilNewsOrAPeerThatKnows() {
        for (boolean byPeer : List.of(true, false)) {
            ColdPace p = new ColdPace(new BrokerHarness().settings, TERMS);
            p.members(T0, ListScope.DISK, List.of(server(0)));
            assertFalse(p.knows(T0, 30));
            assertFalse(Double.isInfinite(p.takes(T0 + S, "a")));
            if (byPeer) {
                p.heard(T0 + S, 1, List.of(), false);
                assertFalse(Double.isInfinite(p.takes(T0 + S, "a")), "a peer that does not know tells nothing");
                p.heard(T0 + S, 1, List.of(), true);
            } else {
                p.members(T0 + S, ListScope.CHANGES, List.of());
                assertTrue(p.knows(T0 + S, 30));
            }
            assertTrue(Double.isInfinite(p.takes(T0 + S, "a")));
        }
    }

    @Test
    void aBoxThatAPeerKnowsToBeColdIsColdHereAndTheWordDoesNotGoRound() {
        // The list tells of a restart up to 1.5 s late; until then such a box was sent 1.7 times what it could take.
        ColdPace p = new ColdPace(new BrokerHarness().settings, TERMS);
        p.members(T0, ListScope.SNAPSHOT, List.of(server(0)));
        assertTrue(Double.isInfinite(p.takes(T0, "a")));
        p.heard(T0, 1, List.of(new Spent(ColdPace.hash("a"), 0)), false);
        assertTrue(Double.isInfinite(p.takes(T0, "a")), "from one that does not know, it may be want of news");
        p.heard(T0, 1, List.of(new Spent(ColdPace.hash("a"), 0)), true);
        assertFalse(Double.isInfinite(p.takes(T0 + S, "a")));
        assertEquals(List.of(), p.spent(T0 + S, 30), "hearsay is not told on");
        p.heard(T0 + 13 * S, 1, List.of(new Spent(ColdPace.hash("a"), 0)), true);
        assertTrue(Double.isInfinite(p.takes(T0 + 13 * S, "a")), "nor believed again at once");
        p.members(T0 + 30 * S, ListScope.CHANGES, List.of(server(T0 + 30 * S)));
        assertEquals(1, p.spent(T0 + 31 * S, 30).size(), "what the list tells is");
    }

    // ---- Notes.

    @Test
    void aNoteComesThroughAndFitsADatagramAtItsLargest() {
        List<Spent> spent = new ArrayList<>();
        int[] promised = new int[Note.MOST_SLOTS];
        for (int i = 0; i < Note.MOST_BOXES; i++) {
            spent.add(new Spent(ColdPace.hash("box" + i), i * 9));
            promised[i] = i;
        }
        byte[] bytes = new Note(Watch.State.STORM, 250, 371.4, 12.5, -5, promised, spent, true).write();
        assertTrue(bytes.length < Note.MOST_BYTES, "bytes " + bytes.length);
        Note n = Note.read(bytes);
        assertEquals(Watch.State.STORM, n.state());
        assertEquals(371.4, n.arrivals(), 0.01);
        assertEquals(12.5, n.room(), 0.01);
        assertEquals(-5, n.firstSlot());
        assertEquals(29, n.promised()[29]);
        assertEquals(spent.get(20), n.spent().get(20));
        assertEquals(255, n.spent().get(29).count(), "counts stop there");
        assertTrue(n.knows());
    }

    @Property(tries = 500, seed = "11")
    void garbageIsPassedOver(@ForAll @Size(max = 300) byte[] bytes, @ForAll @IntRange(max = 255) int at) {
        Note.read(bytes); // must not throw
        byte[] good =
                new Note(Watch.State.CALM, 250, 1, 2, 0, new int[] {1, 2}, List.of(new Spent(1, 2)), false).write();
        for (int cut = 0; cut < good.length; cut++) {
            assertNull(Note.read(java.util.Arrays.copyOf(good, cut)));
        }
        good[at % good.length] ^= (byte) 0x81;
        Note n = Note.read(good);
        assertTrue(
                n == null || n.promised().length <= Note.MOST_SLOTS && n.spent().size() <= Note.MOST_BOXES);
        good = new Note(Watch.State.CALM, 250, 1, 2, 0, new int[0], List.of(), false).write();
        assertNotNull(Note.read(good));
        good[1]++;
        assertNull(Note.read(good), "a newer version");
    }

    @Test
    void theWindowForgetsWhatIsPast() {
        Window w = new Window(100 * MS, 2 * S);
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
