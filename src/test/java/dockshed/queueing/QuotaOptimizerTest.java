package dockshed.queueing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.queueing.QuotaOptimizer.Quotas;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Method II against values worked out by hand or known from tables. */
class QuotaOptimizerTest {
    /** Arrivals of the class worth more and of the other, departures, their worths; two sub-rated for a newcomer. */
    private static QuotaOptimizer method(
            double high, double low, double departures, double highWorth, double lowWorth) {
        return new QuotaOptimizer(high, low, departures, highWorth, lowWorth, 2);
    }

    @Test
    void erlangLossAgreesWithTables() {
        // 10 erlang on 10 trunks lose 21.46 %, 2 on 5 lose 3.67 %.
        assertEquals(0.2146, new ErlangLoss(10, 10).blockingProbability(10), 5e-5);
        assertEquals(0.0367, new ErlangLoss(2, 5).blockingProbability(5), 5e-5);
        ErlangLoss e = new ErlangLoss(7.3, 12);
        assertEquals(
                1.0,
                IntStream.rangeClosed(0, 12)
                        .mapToDouble(i -> e.probability(i, 12))
                        .sum(),
                1e-12);
        assertEquals(7.3 * (1 - e.blockingProbability(12)), e.carriedLoad(12), 1e-12); // carried load
    }

    @Test
    void payoffOfOneSlotByHand() {
        // One pool slot, both loads 1 erlang, worths 2 and 1. P(0,0) = 1/2 * 1/2, P(0,1) = 1/4, P(1,0) = 1/2.
        // (7): 1/4 * 1 + 1/2 * 2 = 1.25. Omega(0) = Omega(1) = 0, so (11) = -(1/4 + 1/2) * 1 * 2 = -1.5; (9) = 0.75.
        assertEquals(1.25 - 1.5 - 0.75, method(1, 1, 1, 2, 1).payoff(0, 0, 1), 1e-12);
        // The same slot reserved for premium: (2) = 2 * 1/2; all low arrivals and half the premium find no pool.
        // (11): P(0,0) = 1, phi_h = 1/2: -1/2 * 2; (9): 1 * 1.
        assertEquals(1 - 1 - 1, method(1, 1, 1, 2, 1).payoff(1, 0, 0), 1e-12);
    }

    @Test
    void premiumReserveGrowsWithItsWorthAndLoad() {
        int modest = method(5, 10, 1, 2, 1).best(16).high();
        int dear = method(15, 10, 1, 10, 1).best(16).high();
        assertTrue(dear > modest, modest + " then " + dear);
        assertEquals(new Quotas(0, 0), method(0.01, 0.01, 1, 2, 1).best(16));
    }

    @Test
    void quotasOfManySlotsTakeNoTime() {
        // Guards against enumerating with the tables built anew for each split: 50 slots then took most of a second
        // of a whole core every five seconds, and every request of that second waited. That way 200 slots take
        // minutes; with tables shared they take milliseconds.
        Quotas best = assertTimeoutPreemptively(
                Duration.ofSeconds(30), () -> method(50, 100, 1, 3, 1).best(200));
        assertTrue(best.high() + best.low() <= 200);
    }

    @Test
    void quotasAgreeWithThePayoffOfEachSplit() {
        QuotaOptimizer method = method(6, 4, 0.8, 4, 1);
        Quotas best = method.best(9);
        double most = method.payoff(best.high(), best.low(), 9 - best.high() - best.low());
        for (int h = 0; h <= 9; h++) {
            for (int l = 0; h + l <= 9; l++) {
                assertTrue(method.payoff(h, l, 9 - h - l) <= most + 1e-8, h + " " + l);
            }
        }
    }

    @Test
    void aLargeServersSlotsAreGoneThroughInSteps() {
        // Guards against trying each pair of quotas: at the fleet's size a server has hundreds of slots, the pairs'
        // sums
        // grow with their cube, and every broker stood still for over a second at its first recompute, five seconds
        // after its start. 8,000 slots that way take minutes and gigabytes.
        Quotas best = assertTimeoutPreemptively(
                Duration.ofSeconds(30), () -> method(300, 900, 1, 3, 1).best(8000));
        assertTrue(best.high() + best.low() <= 8000);
        // 1,000 erlangs: the terms' sum is beyond a double's range unless it begins small.
        assertTrue(method(300, 700, 1, 3, 1).best(1100).high() > 0);
    }

    @Test
    void stepsLoseNextToNothing() {
        for (int slots : new int[] {65, 100, 130}) {
            double heavy = slots * 0.9;
            QuotaOptimizer method = method(heavy * 0.3, heavy * 0.7, 1, 3, 1);
            Quotas best = method.best(slots);
            double found = method.payoff(best.high(), best.low(), slots - best.high() - best.low());
            double most = found;
            for (int h = 0; h <= slots; h++) {
                for (int l = 0; h + l <= slots; l++) {
                    most = Math.max(most, method.payoff(h, l, slots - h - l));
                }
            }
            assertTrue(found > most - 0.01 * Math.abs(most), slots + " slots: " + found + " of " + most);
        }
    }
}
