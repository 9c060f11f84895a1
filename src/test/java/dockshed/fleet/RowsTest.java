package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** Rows and datagrams: the laws of merging, and what comes of garbage. */
class RowsTest {
    private static final long NOW = 1_000_000_000L;

    @Provide
    Arbitrary<Row> rows() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.of(Row.BOX, Row.PLANS),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.longs().between(0, 4),
                        Arbitraries.integers().between(0, 2))
                .as((owner, kind, key, inc, counter, age, value) ->
                        new Row(owner, kind, key, inc, counter, NOW - age * 50_000, new byte[] {value.byteValue()}));
    }

    @Property(seed = "20261202", tries = 400)
    void mergingTwoVersionsIsCommutativeAssociativeAndIdempotent(
            @ForAll("rows") Row a, @ForAll("rows") Row b, @ForAll("rows") Row c) {
        Row x = as(a, b);
        Row y = as(a, c);
        assertEquals(Row.merge(a, x), Row.merge(x, a));
        assertEquals(Row.merge(Row.merge(a, x), y), Row.merge(a, Row.merge(x, y)));
        assertEquals(a, Row.merge(a, a));
    }

    /** The other's version of the first one's row. */
    private static Row as(Row id, Row v) {
        return new Row(id.owner(), id.kind(), id.key(), v.incarnation(), v.counter(), v.born(), v.value());
    }

    @Property(seed = "20261202", tries = 300)
    void holdersThatHearTheSameInAnyOrderHoldTheSame(
            @ForAll("rows") Row r1,
            @ForAll("rows") Row r2,
            @ForAll("rows") Row r3,
            @ForAll("rows") Row r4,
            @ForAll long salt) {
        List<Row> told = new ArrayList<>(List.of(r1, r2, r3, r4, r2, r1));
        Rows one = new Rows(0, 9, 1);
        told.forEach(r -> one.merge(NOW, r, 8, liar -> {}));
        Collections.shuffle(told, new Random(salt));
        Rows other = new Rows(0, 9, 1);
        told.forEach(r -> other.merge(NOW, r, 8, liar -> {}));
        assertArrayEquals(one.digest(), other.digest());
        for (Row r : one.all()) {
            assertEquals(r.born(), other.get(r.owner(), r.kind(), r.key()).born());
        }
    }

    @Example
    void aRowOfAnEarlierLifeNeverWinsAndAnOldOneGoesHoweverOftenItIsTold() {
        Rows rows = new Rows(0, 9, 1);
        rows.keep(Row.BOX, 1_000_000);
        rows.merge(NOW, new Row(1, Row.BOX, 5, 20, 1, NOW, new byte[] {1}), 1, l -> {});
        rows.merge(NOW, new Row(1, Row.BOX, 6, 10, 99, NOW, new byte[] {2}), 1, l -> {});
        assertNull(rows.get(1, Row.BOX, 6), "of an earlier life");
        for (int i = 1; i <= 30; i++) { // told on and on, each time by the age that it has by then
            long now = NOW + i * 100_000;
            Row again = Row.read(new Row(1, Row.BOX, 5, 20, 1, NOW, new byte[] {1}).write(now), now);
            rows.merge(now, again, 2, l -> {});
            rows.expire(now);
        }
        assertNull(rows.get(1, Row.BOX, 5));
    }

    @Example
    void whatARelayMadeUpGoesWithTheOwnersNextWordAndTheRelayIsNamed() {
        Rows rows = new Rows(0, 9, 1);
        List<Integer> liars = new ArrayList<>();
        for (int i = 0; i < Rows.STRIKES; i++) {
            assertEquals(List.of(), liars, "a datagram may be overtaken");
            rows.merge(NOW, new Row(1, Row.BOX, 5, 20, 1000 + i, NOW, new byte[] {2}), 7, liars::add);
            rows.merge(NOW, new Row(1, Row.BOX, 5, 20, 3, NOW, new byte[] {1}), 1, liars::add);
        }
        assertEquals(List.of(7), liars);
        assertEquals(3, rows.get(1, Row.BOX, 5).counter());
    }

    @Example
    void oneOwnersRowsAreBounded() {
        Rows rows = new Rows(0, 9, 1);
        for (int key = 0; key < 1000; key++) {
            rows.merge(NOW, new Row(1, Row.BOX, key, 1, 1, NOW, new byte[] {1}), 1, l -> {});
            rows.put(NOW + key, Row.BOX, key, new byte[] {1});
        }
        assertEquals(2 * Rows.MOST_OF_ONE, rows.size());
        assertNotNull(rows.get(0, Row.BOX, 999), "the latest own word stays");
    }

    @Property(seed = "20261202", tries = 300)
    void noDatagramBreaksTheHeart(@ForAll byte[] bytes, @ForAll boolean headed) {
        byte[] datagram = bytes.length > 250 ? java.util.Arrays.copyOf(bytes, 250) : bytes.clone();
        if (headed && datagram.length > 4) {
            datagram[0] = Envelope.MAGIC;
            datagram[1] = 1;
            datagram[2] = 0;
            datagram[3] = 1;
        }
        Heart heart = new Heart(FleetTerms.USUAL, 0, 3, 1000, NOW, 1);
        heart.receive(NOW + 100, datagram, (to, d) -> {});
        heart.tick(NOW + 200, (to, d) -> {});
        assertTrue(heart.view(NOW + 300).living().contains(0));
    }

    @Example
    void eachCutOfADatagramIsPassedOverAndALaterVersionIsRead() {
        Row row = new Row(1, Row.BOX, 5, 20, 3, NOW, new byte[] {1, 2, 3});
        byte[] whole =
                new Envelope(1, 20, 7, List.of(new Envelope.Item(200, new byte[] {1, 2}), row.write(NOW))).write();
        whole[1] = 9; // a later version, with an item of a kind that is not known here
        for (int i = 0; i < whole.length; i++) {
            Envelope part = Envelope.read(java.util.Arrays.copyOf(whole, i));
            assertTrue(part == null || part.items().size() < 2, "cut at " + i);
        }
        Heart heart = new Heart(FleetTerms.USUAL, 0, 3, 1000, NOW, 1);
        heart.receive(NOW + 1, whole, (to, d) -> {});
        assertNotNull(heart.rows().get(1, Row.BOX, 5));
        assertFalse(heart.view(NOW + 2).words().isEmpty());
    }
}
