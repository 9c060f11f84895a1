package dockshed.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** What a broker says that tells nonsense at full rate: well-formed, of every kind, about everybody. */
public final class Nonsense {
    private final int me, brokers;
    private final long life;
    private final SplittableRandom random;
    private int serial;

    public Nonsense(int me, int brokers, long now, long seed) {
        this.me = me;
        this.brokers = brokers;
        life = now / 1000;
        random = new SplittableRandom(seed);
    }

    public byte[] next(long now) {
        List<Envelope.Item> items = new ArrayList<>();
        int other = random.nextInt(brokers);
        items.add(new Envelope.Bodies()
                .u16(other)
                .u8(1 + random.nextInt(4))
                .u48(life + random.nextInt(10_000))
                .item(Envelope.MEMBER));
        double[] demand = new double[Cut.STEPS];
        demand[random.nextInt(Cut.STEPS)] = random.nextInt(3000);
        byte[] load = new Cut.Load(demand, random.nextInt(3), random.nextInt(3000), random.nextInt(Cut.MOST)).write();
        items.add(new Row(me, Row.LOAD, 0, life, serial + 1, now, load).write(now));
        items.add(new Row(other, Row.BOX, random.nextInt(), life + 5, serial + 1, now, new byte[] {
                    (byte) (1 + random.nextInt(2))
                })
                .write(now));
        items.add(new Envelope.Bodies()
                .u32(random.nextInt())
                .u16(0xFFFF)
                .u16(0xFFFF)
                .u16(0xFFFF)
                .item(Envelope.GRANT));
        items.add(new Envelope.Bodies().u32(random.nextInt()).u48(life).item(Envelope.LOCK));
        items.add(new Envelope.Bodies()
                .u32(random.nextInt())
                .u16(0xFFFF)
                .u16(0xFFFF)
                .item(Envelope.ASK));
        items.add(new Envelope.Bodies().u16(random.nextInt(0xFFFF)).item(Envelope.PING));
        return new Envelope(me, life, ++serial, items).write();
    }
}
