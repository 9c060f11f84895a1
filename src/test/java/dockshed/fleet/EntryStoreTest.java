package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.topology.ZoneMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards the laws of merging entries, on which replication relies, and the node against malformed datagrams. */
class EntryStoreTest {
    private static final long NOW = 1_000_000_000L;

    @Provide
    Arbitrary<VersionedEntry> entries() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.of(VersionedEntry.HEALTH_REPORT, VersionedEntry.PLANS),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.longs().between(0, 4),
                        Arbitraries.integers().between(0, 2))
                .as((owner, kind, key, inc, counter, age, value) -> new VersionedEntry(
                        owner, kind, key, inc, counter, NOW - age * 50_000, new byte[] {value.byteValue()}));
    }

    @Property(seed = "20261202", tries = 400)
    void mergingTwoVersionsIsCommutativeAssociativeAndIdempotent(
            @ForAll("entries") VersionedEntry first,
            @ForAll("entries") VersionedEntry secondVersion,
            @ForAll("entries") VersionedEntry thirdVersion) {
        VersionedEntry second = as(first, secondVersion);
        VersionedEntry third = as(first, thirdVersion);
        assertEquals(VersionedEntry.merge(first, second), VersionedEntry.merge(second, first));
        assertEquals(
                VersionedEntry.merge(VersionedEntry.merge(first, second), third),
                VersionedEntry.merge(first, VersionedEntry.merge(second, third)));
        assertEquals(first, VersionedEntry.merge(first, first));
    }

    /** The given version as a version of {@code entry}. */
    private static VersionedEntry as(VersionedEntry entry, VersionedEntry version) {
        return new VersionedEntry(
                entry.owner(),
                entry.kind(),
                entry.key(),
                version.incarnation(),
                version.counter(),
                version.writtenAt(),
                version.value());
    }

    @Property(seed = "20261202", tries = 300)
    void holdersThatReceiveTheSameInAnyOrderHoldTheSame(
            @ForAll("entries") VersionedEntry first,
            @ForAll("entries") VersionedEntry second,
            @ForAll("entries") VersionedEntry third,
            @ForAll("entries") VersionedEntry fourth,
            @ForAll long salt) {
        List<VersionedEntry> received = new ArrayList<>(List.of(first, second, third, fourth, second, first));
        EntryStore one = new EntryStore(0, ZoneMap.undivided(9).scopeOf(0), 1);
        received.forEach(entry -> one.merge(NOW, entry, 8, forger -> {}));
        Collections.shuffle(received, new Random(salt));
        EntryStore other = new EntryStore(0, ZoneMap.undivided(9).scopeOf(0), 1);
        received.forEach(entry -> other.merge(NOW, entry, 8, forger -> {}));
        assertArrayEquals(one.digest(), other.digest());
        for (VersionedEntry entry : one.all()) {
            assertEquals(
                    entry.writtenAt(),
                    other.get(entry.owner(), entry.kind(), entry.key()).writtenAt());
        }
    }

    @Example
    void anEntryOfAnEarlierIncarnationNeverWinsAndAnOldOneExpiresHoweverOftenItIsReceived() {
        EntryStore store = new EntryStore(0, ZoneMap.undivided(9).scopeOf(0), 1);
        store.setTimeToLive(VersionedEntry.HEALTH_REPORT, 1_000_000);
        store.merge(
                NOW,
                new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, 5, 20, 1, NOW, new byte[] {1}),
                1,
                forger -> {});
        store.merge(
                NOW,
                new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, 6, 10, 99, NOW, new byte[] {2}),
                1,
                forger -> {});
        assertNull(store.get(1, VersionedEntry.HEALTH_REPORT, 6), "of an earlier incarnation");
        for (int i = 1; i <= 30; i++) { // received repeatedly, each time with its current age
            long now = NOW + i * 100_000;
            VersionedEntry again = VersionedEntry.read(
                    new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, 5, 20, 1, NOW, new byte[] {1}).write(now), now);
            store.merge(now, again, 2, forger -> {});
            store.expire(now);
        }
        assertNull(store.get(1, VersionedEntry.HEALTH_REPORT, 5));
    }

    @Example
    void aForgedCopyIsReplacedByTheOwnersNextVersionAndTheRelayIsReported() {
        EntryStore store = new EntryStore(0, ZoneMap.undivided(9).scopeOf(0), 1);
        List<Integer> forgers = new ArrayList<>();
        for (int i = 0; i < EntryStore.MAX_STRIKES; i++) {
            assertEquals(List.of(), forgers, "a datagram may be overtaken");
            store.merge(
                    NOW,
                    new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, 5, 20, 1000 + i, NOW, new byte[] {2}),
                    7,
                    forgers::add);
            store.merge(
                    NOW,
                    new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, 5, 20, 3, NOW, new byte[] {1}),
                    1,
                    forgers::add);
        }
        assertEquals(List.of(7), forgers);
        assertEquals(3, store.get(1, VersionedEntry.HEALTH_REPORT, 5).counter());
    }

    @Example
    void oneOwnersEntriesAreBounded() {
        EntryStore store = new EntryStore(0, ZoneMap.undivided(9).scopeOf(0), 1);
        for (int key = 0; key < 1000; key++) {
            store.merge(
                    NOW,
                    new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, key, 1, 1, NOW, new byte[] {1}),
                    1,
                    forger -> {});
            store.put(NOW + key, VersionedEntry.HEALTH_REPORT, key, new byte[] {1});
        }
        assertEquals(2 * EntryStore.MAX_ENTRIES_PER_OWNER, store.size());
        assertNotNull(store.get(0, VersionedEntry.HEALTH_REPORT, 999), "the latest own entry stays");
    }

    @Property(seed = "20261202", tries = 300)
    void noDatagramBreaksTheNode(@ForAll byte[] bytes, @ForAll boolean headed) {
        byte[] datagram = bytes.length > 250 ? java.util.Arrays.copyOf(bytes, 250) : bytes.clone();
        if (headed && datagram.length > 4) {
            datagram[0] = Envelope.MAGIC;
            datagram[1] = 1;
            datagram[2] = 0;
            datagram[3] = 1;
        }
        GossipNode node = new GossipNode(FleetSettings.DEFAULTS, 0, 3, 1000, NOW, 1);
        node.receive(NOW + 100, datagram, (to, d) -> {});
        node.tick(NOW + 200, (to, d) -> {});
        assertTrue(node.snapshot(NOW + 300).presentBrokers().contains(0));
    }

    @Example
    void eachTruncationOfADatagramIsDiscardedAndALaterVersionIsRead() {
        VersionedEntry entry = new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, 5, 20, 3, NOW, new byte[] {1, 2, 3});
        byte[] whole =
                new Envelope(1, 20, 7, List.of(new Envelope.Item(200, new byte[] {1, 2}), entry.write(NOW))).write();
        whole[1] = 9; // a later protocol version, with an item of an unknown kind
        for (int i = 0; i < whole.length; i++) {
            Envelope part = Envelope.read(java.util.Arrays.copyOf(whole, i));
            assertTrue(part == null || part.items().size() < 2, "truncated at " + i);
        }
        GossipNode node = new GossipNode(FleetSettings.DEFAULTS, 0, 3, 1000, NOW, 1);
        node.receive(NOW + 1, whole, (to, d) -> {});
        assertNotNull(node.entries().get(1, VersionedEntry.HEALTH_REPORT, 5));
        assertFalse(node.snapshot(NOW + 2).healthReports().isEmpty());
    }
}
