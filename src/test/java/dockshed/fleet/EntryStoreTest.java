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

/** Entries and datagrams: the laws of merging, and what comes of garbage. */
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
            @ForAll("entries") VersionedEntry a,
            @ForAll("entries") VersionedEntry b,
            @ForAll("entries") VersionedEntry c) {
        VersionedEntry x = as(a, b);
        VersionedEntry y = as(a, c);
        assertEquals(VersionedEntry.merge(a, x), VersionedEntry.merge(x, a));
        assertEquals(
                VersionedEntry.merge(VersionedEntry.merge(a, x), y),
                VersionedEntry.merge(a, VersionedEntry.merge(x, y)));
        assertEquals(a, VersionedEntry.merge(a, a));
    }

    /** The version of the second as one of the first entry. */
    private static VersionedEntry as(VersionedEntry id, VersionedEntry v) {
        return new VersionedEntry(
                id.owner(), id.kind(), id.key(), v.incarnation(), v.counter(), v.writtenAt(), v.value());
    }

    @Property(seed = "20261202", tries = 300)
    void holdersThatHearTheSameInAnyOrderHoldTheSame(
            @ForAll("entries") VersionedEntry r1,
            @ForAll("entries") VersionedEntry r2,
            @ForAll("entries") VersionedEntry r3,
            @ForAll("entries") VersionedEntry r4,
            @ForAll long salt) {
        List<VersionedEntry> received = new ArrayList<>(List.of(r1, r2, r3, r4, r2, r1));
        EntryStore one = new EntryStore(0, ZoneMap.undivided(9).scopeOf(0), 1);
        received.forEach(r -> one.merge(NOW, r, 8, forger -> {}));
        Collections.shuffle(received, new Random(salt));
        EntryStore other = new EntryStore(0, ZoneMap.undivided(9).scopeOf(0), 1);
        received.forEach(r -> other.merge(NOW, r, 8, forger -> {}));
        assertArrayEquals(one.digest(), other.digest());
        for (VersionedEntry r : one.all()) {
            assertEquals(r.writtenAt(), other.get(r.owner(), r.kind(), r.key()).writtenAt());
        }
    }

    @Example
    void anEntryOfAnEarlierIncarnationNeverWinsAndAnOldOneExpiresHoweverOftenItIsReceived() {
        EntryStore store = new EntryStore(0, ZoneMap.undivided(9).scopeOf(0), 1);
        store.setTimeToLive(VersionedEntry.HEALTH_REPORT, 1_000_000);
        store.merge(
                NOW, new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, 5, 20, 1, NOW, new byte[] {1}), 1, l -> {});
        store.merge(
                NOW, new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, 6, 10, 99, NOW, new byte[] {2}), 1, l -> {});
        assertNull(store.get(1, VersionedEntry.HEALTH_REPORT, 6), "of an earlier incarnation");
        for (int i = 1; i <= 30; i++) { // received again and again, each time with the age that it has by then
            long now = NOW + i * 100_000;
            VersionedEntry again = VersionedEntry.read(
                    new VersionedEntry(1, VersionedEntry.HEALTH_REPORT, 5, 20, 1, NOW, new byte[] {1}).write(now), now);
            store.merge(now, again, 2, l -> {});
            store.expire(now);
        }
        assertNull(store.get(1, VersionedEntry.HEALTH_REPORT, 5));
    }

    @Example
    void whatARelayForgedGoesWithTheOwnersNextVersionAndTheRelayIsNamed() {
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
                    l -> {});
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
        whole[1] = 9; // a later version, with an item of a kind that is not known here
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
