package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.topology.InvalidZonesException;
import dockshed.topology.Scope;
import dockshed.topology.Zone;
import dockshed.topology.ZoneMap;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against lying makers and relays that move what a broker believes about another scope, and against summaries
 * that never expire. Brokers 0 to 9 are scope 0, the store's own; 10 to 19 are scope 1; 20 to 29 are scope 2.
 */
class ScopeSummaryStoreTest {
    private static final long SECOND_US = 1_000_000;
    private static final long NOW = 1000 * SECOND_US;
    private static final long LATEST = Long.MAX_VALUE;

    private ZoneMap zones;
    private Scope own;
    private Scope other;
    private ScopeSummaryStore store;

    @BeforeEach
    void threeScopes() throws InvalidZonesException {
        zones = ZoneMap.of(
                List.of(new Zone("a", "n", 0, 9), new Zone("b", "n", 10, 19), new Zone("c", "s", 20, 29)), 30);
        own = zones.scopes().get(0);
        other = zones.scopes().get(1);
        store = new ScopeSummaryStore(zones, own);
    }

    private static ScopeSummary made(int maker, long version, long madeAt, double demand) {
        double[] steps = new double[SheddingThreshold.PRIORITY_STEPS];
        steps[0] = demand;
        return new ScopeSummary(maker, version, madeAt, 10, new LoadFigures(steps, demand, 0, (int) demand));
    }

    private double demand(long now) {
        return store.estimate(now, other).load().demand()[0];
    }

    @Test
    void theMedianOfThreeMakersCounts() {
        store.offer(NOW, made(10, 1, NOW, 100), 10, LATEST);
        store.offer(NOW, made(11, 1, NOW, 110), 1, LATEST);
        store.offer(NOW, made(12, 1, NOW, 3000), 2, LATEST);
        assertEquals(110, demand(NOW));
        assertEquals(10, store.estimate(NOW, other).present());
        assertEquals(110, store.estimate(NOW, other).load().proposal());
        assertEquals(1, store.estimates(NOW).size());
    }

    @Test
    void aLaterVersionReplacesItsMakersAndAnOlderOneDoesNot() {
        store.offer(NOW, made(10, 5, NOW, 100), 1, LATEST);
        store.offer(NOW, made(10, 4, NOW, 50), 2, LATEST);
        assertEquals(100, demand(NOW));
        store.offer(NOW, made(10, 6, NOW, 70), 2, LATEST);
        assertEquals(70, demand(NOW));
        assertEquals(1, store.size());
    }

    @Test
    void theOldestOfThreeGivesWayToANewMaker() {
        for (int i = 0; i < 3; i++) {
            store.offer(NOW, made(10 + i, 1, NOW - i * 100_000, 100 + i), 1 + i, LATEST);
        }
        store.offer(NOW, made(15, 1, NOW - 300_000, 7), 5, LATEST);
        assertEquals(101, demand(NOW), "older than all that are held");
        store.offer(NOW, made(15, 1, NOW, 7), 5, LATEST);
        assertEquals(100, demand(NOW), "of 7, 100, 101");
        assertEquals(ScopeSummaryStore.MAX_SUMMARIES_PER_SCOPE, store.size());
    }

    @Test
    void aRelayThatForgesAtFullRateDoesNotMoveTheMedian() {
        // It forges summaries of the makers held and of others, with versions far in the future, ten for each correct
        // one.
        SplittableRandom random = new SplittableRandom(4);
        long now = NOW;
        for (int i = 0; i < 5000; i++) {
            now += 10_000;
            int maker = 10 + random.nextInt(10);
            store.offer(now, made(maker, now + random.nextInt(1000) * SECOND_US, now, 5000), 3, LATEST);
            if (i % 10 == 0) {
                int correctMaker = 10 + random.nextInt(10);
                int relay = 4 + random.nextInt(6);
                store.offer(
                        now, made(correctMaker, now, now - random.nextInt(800_000), 100 + correctMaker), relay, LATEST);
            }
            store.expire(now);
            if (i > 100) {
                double demand = demand(now);
                assertTrue(demand >= 110 && demand < 120, "after " + i + ": " + demand);
            }
        }
    }

    @Test
    void aMakerThatLiesAtFullRateDoesNotMoveTheMedian() {
        SplittableRandom random = new SplittableRandom(5);
        long now = NOW;
        for (int i = 0; i < 5000; i++) {
            now += 10_000;
            int relay = random.nextInt(10); // its own datagrams, and those of brokers that relay its summary
            store.offer(now, made(19, now, now, 5000), relay == 0 ? 19 : relay, LATEST);
            if (i % 10 == 0) {
                int correctMaker = 10 + random.nextInt(9);
                store.offer(
                        now,
                        made(correctMaker, now, now - random.nextInt(800_000), 100 + correctMaker),
                        1 + relay % 9,
                        LATEST);
            }
            store.expire(now);
            if (i > 300) {
                assertTrue(demand(now) >= 110 && demand(now) < 120, "after " + i + ": " + demand(now));
            }
        }
    }

    @Test
    void summariesThatABrokerMustNotSendAreRefused() {
        store.offer(NOW, made(11, 1, NOW, 1), 10, LATEST); // about its own scope, but made by another broker
        store.offer(NOW, made(1, 1, NOW, 1), 1, LATEST); // about this scope
        store.offer(NOW, made(30, 1, NOW, 1), 10, LATEST); // made by an unknown broker
        store.offer(NOW, made(10, 1, NOW, 1), 30, LATEST);
        store.offer(NOW, made(10, 8, NOW, 1), 10, 7); // of an implausible version
        store.offer(NOW, null, 10, LATEST);
        double[] none = new double[SheddingThreshold.PRIORITY_STEPS];
        store.offer(NOW, new ScopeSummary(10, 1, NOW, 11, new LoadFigures(none, 0, 0, 0)), 10, LATEST);
        assertEquals(7, store.refused);
        assertEquals(0, store.size());
        assertNull(store.estimate(NOW, other));
    }

    @Test
    void onlySummariesReceivedFromTheirMakersAreRelayedAndNotToTheirOwnScope() {
        store.offer(NOW, made(10, 1, NOW, 1), 1, LATEST);
        store.offer(NOW, made(20, 1, NOW, 1), 10, LATEST);
        assertNull(store.nextToRelay(NOW, own), "received from a relay");
        store.offer(NOW, made(12, 1, NOW, 1), 12, LATEST);
        assertEquals(12, store.nextToRelay(NOW, own).maker());
        assertNull(store.nextToRelay(NOW, other));
        store.offer(NOW, made(21, 1, NOW, 1), 21, LATEST);
        assertEquals(21, store.nextToRelay(NOW, own).maker(), "in turn");
        assertEquals(12, store.nextToRelay(NOW, own).maker());
        assertNull(store.nextToRelay(NOW + ScopeSummaryStore.MAX_RELAY_AGE_US + 1, own));
    }

    @Test
    void whatIsTooOldIsForgottenHoweverOftenItIsSentAgain() {
        long last = NOW + ScopeSummaryStore.MAX_AGE_US;
        store.offer(NOW, made(10, 1, NOW, 1), 1, LATEST);
        assertNotNull(store.estimate(last, other));
        for (long now = last + 1; now < last + 3 * SECOND_US; now += SECOND_US / 10) {
            store.offer(now, made(10, 1, NOW, 1), 2, LATEST);
            store.expire(now);
            assertNull(store.estimate(now, other));
            assertEquals(0, store.size());
        }
    }
}
