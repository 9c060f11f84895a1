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

/** Guards the invariants of each component of storm control by itself. */
class StormComponentsTest {
    private static final long MILLISECOND_US = 1000;
    private static final long SECOND_US = 1_000_000;
    private static final long START_US = 1_000_000 * SECOND_US;
    private static final Terms TERMS = Terms.DEFAULTS;

    // ---- Storm detector.

    /**
     * Records steady arrivals, evaluating the detector after each; {@code repeats} and {@code refused} are shares of
     * them.
     */
    private static long recordSteadyArrivals(
            StormDetector detector, long from, long to, double perSecond, double repeats, double refused) {
        SplittableRandom random = new SplittableRandom(9);
        long interval = (long) (SECOND_US / perSecond);
        for (long now = from; now < to; now += interval) {
            detector.recordArrival(now, random.nextDouble() < repeats);
            if (random.nextDouble() < refused) {
                detector.recordFailure(now);
            }
            detector.evaluate(now);
        }
        return to;
    }

    @Test
    void aStormPassesThroughEveryStateInOrder() {
        StormDetector detector = new StormDetector(TERMS, 5, 3);
        List<StormDetector.State> states = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(1);
        for (long now = START_US; now < START_US + 60 * SECOND_US; now += 20 * MILLISECOND_US) {
            boolean storm = now > START_US + 20 * SECOND_US && now < START_US + 30 * SECOND_US;
            if (random.nextDouble() < (storm ? 0.8 : 0.1)) {
                detector.recordArrival(now, storm && random.nextDouble() < 0.7);
                if (storm && random.nextDouble() < 0.6) {
                    detector.recordFailure(now);
                }
            }
            StormDetector.Transition transition = detector.evaluate(now);
            if (transition != null) {
                states.add(transition.to());
                assertTrue(transition.toString().contains("arrivals="), "the log line names its figures");
            }
        }
        assertEquals(
                List.of(
                        StormDetector.State.RISING,
                        StormDetector.State.STORM,
                        StormDetector.State.EBBING,
                        StormDetector.State.CALM),
                states);
    }

    @Test
    void aClockThatStandsStillForASecondIsNotAStorm() {
        // After a stall all waiting requests arrive at the same time; a rate over that moment alone would be infinite.
        StormDetector detector = new StormDetector(TERMS, 20, 3);
        recordSteadyArrivals(detector, START_US, START_US + 20 * SECOND_US, 20, 0.05, 0);
        for (int i = 0; i < 20; i++) {
            detector.recordArrival(START_US + 21 * SECOND_US, false);
        }
        assertNull(detector.evaluate(START_US + 21 * SECOND_US));
        recordSteadyArrivals(detector, START_US + 21 * SECOND_US, START_US + 30 * SECOND_US, 20, 0.05, 0);
        assertEquals(StormDetector.State.CALM, detector.state());
    }

    @Test
    void aLastingRiseBecomesTheBaseline() {
        StormDetector detector = new StormDetector(TERMS, 5, 1);
        recordSteadyArrivals(detector, START_US, START_US + 10 * SECOND_US, 5, 0, 0);
        recordSteadyArrivals(detector, START_US + 10 * SECOND_US, START_US + 20 * SECOND_US, 40, 0, 0);
        assertFalse(detector.state() == StormDetector.State.CALM);
        recordSteadyArrivals(detector, START_US + 20 * SECOND_US, START_US + 200 * SECOND_US, 40, 0, 0);
        assertEquals(StormDetector.State.CALM, detector.state());
    }

    @Test
    void aSilentPeerIndicatesAStormForALimitedTime() {
        StormDetector detector = new StormDetector(TERMS, 5, 3);
        detector.recordPeerMessage(START_US, 1);
        detector.recordPeerMessage(START_US, 2);
        assertEquals(3, detector.activeBrokers(START_US + SECOND_US));
        detector.recordPeerMessage(START_US + 4 * SECOND_US, 2);
        assertEquals(1, detector.silentPeers(START_US + 4 * SECOND_US));
        assertEquals(2, detector.activeBrokers(START_US + 4 * SECOND_US));
        assertEquals(0, detector.silentPeers(START_US + 60 * SECOND_US));
    }

    // ---- Return calendar.

    @Property(tries = 200, seed = "7")
    void bookedReturnsNeverExceedTheExpectedCapacity(
            @ForAll @DoubleRange(min = 0.2, max = 80) double perSecond,
            @ForAll @IntRange(min = 1, max = 400) int refused,
            @ForAll long seed) {
        ReturnCalendar calendar = new ReturnCalendar(250 * MILLISECOND_US);
        SplittableRandom random = new SplittableRandom(seed);
        List<Long> booked = new ArrayList<>();
        for (int i = 0; i < refused; i++) {
            long earliest = START_US + random.nextLong(8 * SECOND_US);
            long at = calendar.book(
                    START_US, earliest, START_US + 10 * SECOND_US, perSecond, slot -> 0, random.nextDouble());
            if (at >= 0) {
                assertTrue(at >= earliest && at <= START_US + 10 * SECOND_US);
                booked.add(at);
            }
        }
        for (long slot = calendar.slotOf(START_US); slot <= calendar.slotOf(START_US + 10 * SECOND_US); slot++) {
            long end = (slot + 1) * 250 * MILLISECOND_US;
            long bookedByEnd = booked.stream().filter(at -> at < end).count();
            assertTrue(
                    bookedByEnd <= perSecond * (end - START_US) / 1e6 + 1,
                    bookedByEnd + " booked by " + (end - START_US) / MILLISECOND_US + " ms at " + perSecond);
        }
        assertEquals(booked.size(), calendar.pending(START_US));
        booked.forEach(calendar::cancel);
        assertEquals(0, calendar.pending(START_US));
    }

    @Test
    void aFullCalendarBooksNothingAndPastSlotsAreEmpty() {
        ReturnCalendar calendar = new ReturnCalendar(250 * MILLISECOND_US);
        int placed = 0;
        while (calendar.book(START_US, START_US, START_US + 2 * SECOND_US, 2, slot -> 0, 0.5) >= 0) {
            placed++;
        }
        assertTrue(placed >= 4 && placed <= 6, "placed " + placed);
        assertEquals(0, calendar.pending(START_US + 3 * SECOND_US));
        assertTrue(calendar.book(
                        START_US + 100 * SECOND_US,
                        START_US + 100 * SECOND_US,
                        START_US + 102 * SECOND_US,
                        2,
                        slot -> 0,
                        0.5)
                >= 0);
        assertEquals(
                -1,
                calendar.book(
                        START_US + 200 * SECOND_US,
                        START_US + 200 * SECOND_US,
                        START_US + 201 * SECOND_US,
                        2,
                        slot -> 9,
                        0.5),
                "booked at other brokers");
    }

    // ---- Request history.

    @Test
    void aReturnOnTimeIsDistinguishedFromAnEarlyOne() {
        RequestHistory history = new RequestHistory(TERMS);
        ViewerRecord viewerRecord = history.recordRequest(START_US, "k");
        assertEquals(ReturnKind.FIRST, history.returnKind(START_US, viewerRecord));
        viewerRecord.refusedAt = START_US;
        viewerRecord.returnAt = START_US + 1_700 * MILLISECOND_US;
        assertEquals(viewerRecord, history.recordRequest(START_US + 500 * MILLISECOND_US, "k"));
        assertEquals(ReturnKind.EARLY, history.returnKind(START_US + 500 * MILLISECOND_US, viewerRecord));
        assertEquals(ReturnKind.EARLY, history.returnKind(START_US + 1_500 * MILLISECOND_US, viewerRecord));
        assertEquals(ReturnKind.KEPT, history.returnKind(START_US + 1_650 * MILLISECOND_US, viewerRecord));
        assertEquals(
                ReturnKind.KEPT,
                history.returnKind(START_US + 1_050 * MILLISECOND_US, viewerRecord),
                "the time was given in whole seconds, by Retry-After");
        history.remove("k");
        assertEquals(
                ReturnKind.FIRST,
                history.returnKind(START_US + 2 * SECOND_US, history.recordRequest(START_US + 2 * SECOND_US, "k")));
    }

    @Test
    void theHistoryIsBoundedAndItsEntriesExpire() {
        RequestHistory history = new RequestHistory(TERMS);
        for (int i = 0; i < 100_000; i++) {
            history.recordRequest(START_US + i, "viewer " + i);
        }
        assertEquals(RequestHistory.MAX_ENTRIES, history.size());
        assertEquals(100_000 - RequestHistory.MAX_ENTRIES, history.evicted);
        assertEquals(
                ReturnKind.UNTOLD,
                history.returnKind(START_US + SECOND_US, history.recordRequest(START_US + SECOND_US, "viewer 99999")),
                "the latest entries are kept");
        assertEquals(
                ReturnKind.FIRST,
                history.returnKind(START_US + SECOND_US, history.recordRequest(START_US + SECOND_US, "viewer 1")));
        history.recordRequest(START_US + TERMS.remember() + 2 * SECOND_US, "later");
        assertEquals(1, history.size());
    }

    // ---- Admission queue.

    private static QueuedRequest queuedRequest(
            String id, double worth, long firstRequestAt, ReturnKind returnKind, long arrivedAt) {
        ViewerRecord viewerRecord = new ViewerRecord(firstRequestAt);
        SessionClass sessionClass = new SessionClass("c", Effect.SAFE, SECOND_US, 3 * SECOND_US, worth, 1, 0, 4, 0);
        return new QueuedRequest(
                new Request(id, "c", "v", "t", 3 * SECOND_US, 0, 0, 3, 4, false, false, false),
                sessionClass,
                viewerRecord,
                returnKind,
                arrivedAt);
    }

    @Test
    void requestsOfHigherWorthOfOlderViewersAndOnTimeAreAdmittedFirst() {
        AdmissionQueue queue = new AdmissionQueue(TERMS);
        for (QueuedRequest queuedRequest : List.of(
                queuedRequest("early", 1, START_US, ReturnKind.EARLY, START_US),
                queuedRequest("first", 1, START_US, ReturnKind.FIRST, START_US),
                queuedRequest("kept", 1, START_US, ReturnKind.KEPT, START_US),
                queuedRequest("old", 1, START_US - 3 * SECOND_US, ReturnKind.KEPT, START_US),
                queuedRequest("paid", 3, START_US, ReturnKind.FIRST, START_US))) {
            assertNull(queue.offer(START_US, queuedRequest, 100));
        }
        List<String> order = new ArrayList<>();
        while (!queue.isEmpty()) {
            order.add(queue.poll(START_US).request().id());
        }
        // A viewer that ignored its return time gains nothing by it.
        assertEquals("early", order.get(4));
        assertEquals(List.of("paid", "old", "kept", "first", "early").subList(2, 5), order.subList(2, 5));
        assertTrue(order.subList(0, 2).containsAll(List.of("paid", "old")));
    }

    @Test
    void requestsThatCannotBeAdmittedInTimeAreRejectedAndAFullQueueDropsTheLowestScore() {
        AdmissionQueue queue = new AdmissionQueue(new Terms(
                TERMS.returns(),
                1,
                0,
                250 * MILLISECOND_US,
                0,
                SECOND_US,
                400 * MILLISECOND_US,
                2,
                2,
                1,
                1,
                SECOND_US,
                1,
                1,
                1,
                0));
        QueuedRequest first = queuedRequest("1", 1, START_US, ReturnKind.FIRST, START_US);
        assertEquals(first, queue.offer(START_US, first, 2), "half a second per admission exceeds the longest wait");
        assertNull(queue.offer(START_US, first, 100));
        assertNull(queue.offer(START_US, queuedRequest("2", 2, START_US, ReturnKind.FIRST, START_US), 100));
        assertEquals(first, queue.offer(START_US, queuedRequest("3", 3, START_US, ReturnKind.FIRST, START_US), 100));
        assertEquals(List.of(), queue.removeExpired(START_US + 399 * MILLISECOND_US));
        assertEquals(2, queue.removeExpired(START_US + 400 * MILLISECOND_US).size());
        assertTrue(queue.isEmpty());
    }

    @Test
    void timeWaitedRaisesTheScore() {
        // Otherwise a steady stream of requests of higher worth would starve the one of low worth.
        AdmissionQueue queue = new AdmissionQueue(TERMS);
        QueuedRequest cheap = queuedRequest("cheap", 1, START_US, ReturnKind.FIRST, START_US);
        queue.offer(START_US, cheap, 100);
        long later = START_US + 390 * MILLISECOND_US;
        assertNull(queue.offer(later, queuedRequest("same", 1.3, later, ReturnKind.FIRST, later), 100));
        assertEquals("cheap", queue.poll(later).request().id());
    }

    // ---- Retry budget.

    @Test
    void retriesAreAShareOfFirstRequests() {
        RetryBudget budget = new RetryBudget(TERMS);
        for (int i = 0; i < 100; i++) {
            budget.recordFirstRequest(START_US + i * 50 * MILLISECOND_US);
        }
        int granted = 0;
        while (budget.mayRetry(START_US + 5 * SECOND_US)) {
            budget.recordRetry(START_US + 5 * SECOND_US);
            granted++;
        }
        assertEquals(30, granted, "a fifth of 100 first requests, and one a second for 10 s");
        assertEquals(1, budget.denied);
        assertTrue(budget.mayRetry(START_US + 40 * SECOND_US), "retries outside the window no longer count");
    }

    // ---- Cold server limiter.

    private static Server server(long upSince) {
        return new Server("a", "east", "k", 0, State.UP, 1, upSince);
    }

    @Test
    void aColdServerIsSentNoMoreThanItsRateInAnyWindowEvenAfterAStall() {
        // One broker, 40 streams, warm in 12 s.
        ColdServerLimiter limiter = new ColdServerLimiter(new BrokerHarness().settings, TERMS);
        limiter.updateServers(START_US, ListScope.SNAPSHOT, List.of(server(START_US)));
        List<Long> sent = new ArrayList<>();
        // The clock stands still for 1 s at 5 s.
        for (long now = START_US;
                now < START_US + 12 * SECOND_US;
                now += now == START_US + 5 * SECOND_US ? SECOND_US : 5 * MILLISECOND_US) {
            for (int burst = 0; burst < 20 && limiter.permits(now, "a"); burst++) {
                limiter.recordSetUp(now, "a");
                sent.add(now);
            }
        }
        for (long from = START_US; from < START_US + 10 * SECOND_US; from += 100 * MILLISECOND_US) {
            long windowStart = from;
            double warmth = 0.4 + 0.6 * (from + 2 * SECOND_US - START_US) / (12.0 * SECOND_US);
            long count = sent.stream()
                    .filter(now -> now >= windowStart && now < windowStart + 2 * SECOND_US)
                    .count();
            assertTrue(
                    count <= 1.5 * 40 / 12.0 * warmth * 2 + 1, count + " from " + (from - START_US) / MILLISECOND_US);
        }
        assertTrue(sent.size() > 0.8 * 40 / 12.0 * 0.7 * 12, "the rate is used: " + sent.size());
        assertTrue(limiter.permits(START_US + 13 * SECOND_US, "a")
                && Double.isInfinite(limiter.acceptableRate(START_US + 13 * SECOND_US, "a")));
    }

    @Test
    void setUpsOfPeersCountAgainstTheRate() {
        ColdServerLimiter limiter = new ColdServerLimiter(new BrokerHarness().settings, TERMS);
        limiter.updateServers(START_US, ListScope.SNAPSHOT, List.of(server(START_US)));
        assertTrue(limiter.permits(START_US + SECOND_US, "a"));
        limiter.applyPeerUsage(
                START_US + SECOND_US, 1, List.of(new ServerUsage(ColdServerLimiter.idHash("a"), 50)), false);
        assertFalse(limiter.permits(START_US + SECOND_US, "a"));
        assertTrue(limiter.permits(START_US + 4 * SECOND_US, "a"), "they count for the overload window only");
    }

    @Test
    void serversOfAStoredListAreColdUntilACurrentListOrAPeerThatKnowsAllColdServers() {
        for (boolean byPeer : List.of(true, false)) {
            ColdServerLimiter limiter = new ColdServerLimiter(new BrokerHarness().settings, TERMS);
            limiter.updateServers(START_US, ListScope.DISK, List.of(server(0)));
            assertFalse(limiter.knowsAllCold(START_US, 30));
            assertFalse(Double.isInfinite(limiter.acceptableRate(START_US + SECOND_US, "a")));
            if (byPeer) {
                limiter.applyPeerUsage(START_US + SECOND_US, 1, List.of(), false);
                assertFalse(
                        Double.isInfinite(limiter.acceptableRate(START_US + SECOND_US, "a")),
                        "a peer that does not know all cold servers proves nothing");
                limiter.applyPeerUsage(START_US + SECOND_US, 1, List.of(), true);
            } else {
                limiter.updateServers(START_US + SECOND_US, ListScope.CHANGES, List.of());
                assertTrue(limiter.knowsAllCold(START_US + SECOND_US, 30));
            }
            assertTrue(Double.isInfinite(limiter.acceptableRate(START_US + SECOND_US, "a")));
        }
    }

    @Test
    void aServerThatAPeerReportsColdIsColdAndTheReportIsNotPassedOn() {
        // The list reports a restart up to 1.5 s late; until then such a server was sent 1.7 times the set-ups that it
        // accepts.
        ColdServerLimiter limiter = new ColdServerLimiter(new BrokerHarness().settings, TERMS);
        limiter.updateServers(START_US, ListScope.SNAPSHOT, List.of(server(0)));
        assertTrue(Double.isInfinite(limiter.acceptableRate(START_US, "a")));
        limiter.applyPeerUsage(START_US, 1, List.of(new ServerUsage(ColdServerLimiter.idHash("a"), 0)), false);
        assertTrue(
                Double.isInfinite(limiter.acceptableRate(START_US, "a")),
                "a peer that does not know all cold servers may only lack a current list");
        limiter.applyPeerUsage(START_US, 1, List.of(new ServerUsage(ColdServerLimiter.idHash("a"), 0)), true);
        assertFalse(Double.isInfinite(limiter.acceptableRate(START_US + SECOND_US, "a")));
        assertEquals(List.of(), limiter.usage(START_US + SECOND_US, 30), "a peer's report is not passed on");
        limiter.applyPeerUsage(
                START_US + 13 * SECOND_US, 1, List.of(new ServerUsage(ColdServerLimiter.idHash("a"), 0)), true);
        assertTrue(
                Double.isInfinite(limiter.acceptableRate(START_US + 13 * SECOND_US, "a")),
                "nor is it believed again at once");
        limiter.updateServers(START_US + 30 * SECOND_US, ListScope.CHANGES, List.of(server(START_US + 30 * SECOND_US)));
        assertEquals(
                1, limiter.usage(START_US + 31 * SECOND_US, 30).size(), "a start known from the list is passed on");
    }

    // ---- Storm messages and counters.

    @Test
    void theLongestMessageSurvivesEncodingAndFitsADatagram() {
        List<ServerUsage> usages = new ArrayList<>();
        int[] bookedReturns = new int[StormMessage.MAX_SLOTS];
        for (int i = 0; i < StormMessage.MAX_SERVERS; i++) {
            usages.add(new ServerUsage(ColdServerLimiter.idHash("box" + i), i * 9));
            bookedReturns[i] = i;
        }
        byte[] bytes =
                new StormMessage(StormDetector.State.STORM, 250, 371.4, 12.5, -5, bookedReturns, usages, true).encode();
        assertTrue(bytes.length < StormMessage.MAX_BYTES, "bytes " + bytes.length);
        StormMessage decoded = StormMessage.decode(bytes);
        assertEquals(StormDetector.State.STORM, decoded.state());
        assertEquals(371.4, decoded.arrivalRate(), 0.01);
        assertEquals(12.5, decoded.returnCapacity(), 0.01);
        assertEquals(-5, decoded.firstSlot());
        assertEquals(29, decoded.bookedReturns()[29]);
        assertEquals(usages.get(20), decoded.coldServers().get(20));
        assertEquals(255, decoded.coldServers().get(29).setUps(), "counts are capped at 255");
        assertTrue(decoded.knowsAllCold());
    }

    @Property(tries = 500, seed = "11")
    void invalidMessagesAreDiscarded(@ForAll @Size(max = 300) byte[] bytes, @ForAll @IntRange(max = 255) int position) {
        StormMessage.decode(bytes); // must not throw
        byte[] valid = new StormMessage(
                        StormDetector.State.CALM, 250, 1, 2, 0, new int[] {1, 2}, List.of(new ServerUsage(1, 2)), false)
                .encode();
        for (int length = 0; length < valid.length; length++) {
            assertNull(StormMessage.decode(java.util.Arrays.copyOf(valid, length)));
        }
        valid[position % valid.length] ^= (byte) 0x81;
        StormMessage decoded = StormMessage.decode(valid);
        assertTrue(decoded == null
                || decoded.bookedReturns().length <= StormMessage.MAX_SLOTS
                        && decoded.coldServers().size() <= StormMessage.MAX_SERVERS);
        valid = new StormMessage(StormDetector.State.CALM, 250, 1, 2, 0, new int[0], List.of(), false).encode();
        assertNotNull(StormMessage.decode(valid));
        valid[1]++;
        assertNull(StormMessage.decode(valid), "a newer version");
    }

    @Test
    void theCounterDropsEventsOutsideItsWindow() {
        SlidingWindowCounter counter = new SlidingWindowCounter(100 * MILLISECOND_US, 2 * SECOND_US);
        Map<Long, Integer> expected = new HashMap<>();
        SplittableRandom random = new SplittableRandom(2);
        for (long now = START_US; now < START_US + 20 * SECOND_US; now += random.nextLong(700 * MILLISECOND_US)) {
            counter.add(now, 1);
            expected.merge(now / (100 * MILLISECOND_US), 1, Integer::sum);
            long newest = now / (100 * MILLISECOND_US);
            assertEquals(
                    expected.entrySet().stream()
                            .filter(bucket -> bucket.getKey() > newest - 20)
                            .mapToInt(Map.Entry::getValue)
                            .sum(),
                    counter.sum(now, 2 * SECOND_US));
        }
    }
}
