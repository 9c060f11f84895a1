package dockshed.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A byzantine peer: produces well-formed datagrams with forged items of every kind, about any broker. */
public final class ByzantinePeer {
    private final int me;
    private final int brokers;
    private final long incarnation;
    private final SplittableRandom random;
    private int serial;

    /** Creates the peer in place of broker {@code me}. */
    public ByzantinePeer(int me, int brokers, long now, long seed) {
        this.me = me;
        this.brokers = brokers;
        incarnation = now / 1000;
        random = new SplittableRandom(seed);
    }

    /** The next datagram. */
    public byte[] nextDatagram(long now) {
        List<Envelope.Item> items = new ArrayList<>();
        int other = random.nextInt(brokers);
        items.add(new Envelope.BodyWriter()
                .u16(other)
                .u8(1 + random.nextInt(4))
                .u48(incarnation + random.nextInt(10_000))
                .item(Envelope.MEMBER));
        double[] demand = new double[SheddingThreshold.PRIORITY_STEPS];
        demand[random.nextInt(SheddingThreshold.PRIORITY_STEPS)] = random.nextInt(3000);
        byte[] load = new LoadFigures(
                        demand, random.nextInt(3), random.nextInt(3000), random.nextInt(SheddingThreshold.MAX_PRIORITY))
                .write();
        items.add(new VersionedEntry(me, VersionedEntry.LOAD, 0, incarnation, serial + 1, now, load).write(now));
        items.add(new VersionedEntry(
                        other,
                        VersionedEntry.HEALTH_REPORT,
                        random.nextInt(),
                        incarnation + 5,
                        serial + 1,
                        now,
                        new byte[] {(byte) (1 + random.nextInt(2))})
                .write(now));
        items.add(new Envelope.BodyWriter()
                .u32(random.nextInt())
                .u16(0xFFFF)
                .u16(0xFFFF)
                .u16(0xFFFF)
                .item(Envelope.LEASE_GRANT));
        items.add(
                new Envelope.BodyWriter().u32(random.nextInt()).u48(incarnation).item(Envelope.VOTE_REQUEST));
        items.add(new Envelope.BodyWriter()
                .u32(random.nextInt())
                .u16(0xFFFF)
                .u16(0xFFFF)
                .item(Envelope.LEASE_REQUEST));
        items.add(new Envelope.BodyWriter().u16(random.nextInt(0xFFFF)).item(Envelope.PING));
        items.add(new ScopeSummary(
                        other, now / 1000 + random.nextInt(1000), now, 1 + random.nextInt(80), forgedFigures(demand))
                .write(now));
        items.add(new Envelope.BodyWriter().u32(random.nextInt()).item(Envelope.EXTENSION));
        items.add(new Envelope.BodyWriter().u32(random.nextInt()).item(Envelope.ANNOUNCEMENT));
        return new Envelope(me, incarnation, ++serial, items).write();
    }

    private LoadFigures forgedFigures(double[] demand) {
        return new LoadFigures(demand, 0, 3000, random.nextInt(SheddingThreshold.MAX_PRIORITY));
    }
}
