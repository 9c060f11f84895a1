package dockshed.queueing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.queueing.QuotaOptimizer.Quotas;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Method II against values calculated by hand or taken from tables. */
class QuotaOptimizerTest {
    /** Two classes by arrivals, departure rate and worths; two sessions may be sub-rated for one newcomer. */
    private static QuotaOptimizer method(
            double high, double low, double departures, double highWorth, double lowWorth) {
        return new QuotaOptimizer(high, low, departures, highWorth, lowWorth, 2);
    }

    @Test
    void erlangLossAgreesWithTables() {
        // 10 erlang on 10 trunks lose 21.46 %, 2 on 5 lose 3.67 %.
        assertEquals(0.2146, new ErlangLoss(10, 10).blockingProbability(10), 5e-5);
        assertEquals(0.0367, new ErlangLoss(2, 5).blockingProbability(5), 5e-5);
        ErlangLoss system = new ErlangLoss(7.3, 12);
        assertEquals(
                1.0,
                IntStream.rangeClosed(0, 12)
                        .mapToDouble(i -> system.probability(i, 12))
                        .sum(),
                1e-12);
        assertEquals(7.3 * (1 - system.blockingProbability(12)), system.carriedLoad(12), 1e-12); // carried load
    }

    @Test
    void payoffOfOneSlotByHand() {
        // One pool slot, both loads 1 erlang, worths 2 and 1. P(0,0) = 1/2 * 1/2, P(0,1) = 1/4, P(1,0) = 1/2.
        // (7): 1/4 * 1 + 1/2 * 2 = 1.25. Omega(0) = Omega(1) = 0, so (11) = -(1/4 + 1/2) * 1 * 2 = -1.5; (9) = 0.75.
        assertEquals(1.25 - 1.5 - 0.75, method(1, 1, 1, 2, 1).payoff(0, 0, 1), 1e-12);
        // The same slot reserved for premium: (2) = 2 * 1/2; all low and half of the premium arrivals find no pool.
        // (11): P(0,0) = 1, phi_h = 1/2: -1/2 * 2; (9): 1 * 1.
        assertEquals(1 - 1 - 1, method(1, 1, 1, 2, 1).payoff(1, 0, 0), 1e-12);
    }

    @Test
    void premiumReserveGrowsWithItsWorthAndLoad() {
        int modest = method(5, 10, 1, 2, 1).best(16).high();
        int valuable = method(15, 10, 1, 10, 1).best(16).high();
        assertTrue(valuable > modest, modest + " then " + valuable);
        assertEquals(new Quotas(0, 0), method(0.01, 0.01, 1, 2, 1).best(16));
    }

    @Test
    void quotasOfManySlotsAreFoundFast() {
        // Guards against building the tables again for each split: 50 slots took most of a second of a whole core every
        // five seconds, and every request in that second waited. 200 slots would take minutes; with shared tables they
        // take milliseconds.
        Quotas best = assertTimeoutPreemptively(
                Duration.ofSeconds(30), () -> method(50, 100, 1, 3, 1).best(200));
        assertTrue(best.high() + best.low() <= 200);
    }

    @Test
    void quotasAgreeWithThePayoffOfEachSplit() {
        QuotaOptimizer optimizer = method(6, 4, 0.8, 4, 1);
        Quotas best = optimizer.best(9);
        double bestPayoff = optimizer.payoff(best.high(), best.low(), 9 - best.high() - best.low());
        for (int high = 0; high <= 9; high++) {
            for (int low = 0; high + low <= 9; low++) {
                assertTrue(optimizer.payoff(high, low, 9 - high - low) <= bestPayoff + 1e-8, high + " " + low);
            }
        }
    }

    @Test
    void manySlotsAreSearchedInSteps() {
        // Guards against trying every pair of quotas: in a large fleet a server has hundreds of slots and the sums over
        // all pairs grow with their cube, so every broker blocked for over a second at its first update, five seconds
        // after its start. 8,000 slots would take minutes and gigabytes.
        Quotas best = assertTimeoutPreemptively(
                Duration.ofSeconds(30), () -> method(300, 900, 1, 3, 1).best(8000));
        assertTrue(best.high() + best.low() <= 8000);
        // 1,000 erlangs: the sum of the terms exceeds the range of a double unless the first term is small.
        assertTrue(method(300, 700, 1, 3, 1).best(1100).high() > 0);
    }

    @Test
    void searchingInStepsLosesAtMostOnePercent() {
        for (int slots : new int[] {65, 100, 130}) {
            double arrivals = slots * 0.9;
            QuotaOptimizer optimizer = method(arrivals * 0.3, arrivals * 0.7, 1, 3, 1);
            Quotas best = optimizer.best(slots);
            double foundPayoff = optimizer.payoff(best.high(), best.low(), slots - best.high() - best.low());
            double bestPayoff = foundPayoff;
            for (int high = 0; high <= slots; high++) {
                for (int low = 0; high + low <= slots; low++) {
                    bestPayoff = Math.max(bestPayoff, optimizer.payoff(high, low, slots - high - low));
                }
            }
            assertTrue(
                    foundPayoff > bestPayoff - 0.01 * Math.abs(bestPayoff),
                    slots + " slots: " + foundPayoff + " of " + bestPayoff);
        }
    }
}
