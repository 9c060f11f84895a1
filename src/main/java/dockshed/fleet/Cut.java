package dockshed.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Under which rank all brokers refuse while the fleet is asked for more than it has room for. A request's rank is made of
 * what it brings along alone, so that every broker finds the same: the worth of its class; whether it kept the time that it
 * was given (every broker can tell that from the viewer's name) or lost its box; and a hash of the viewer that turns with
 * time. Each broker tells the demand that it saw by steps of rank and what was taken; from these rows each proposes a cut,
 * with hysteresis, and the cut in force is the median of the proposals, which one broker alone cannot move.
 */
final class Cut {
    /** Ranks: a class's step of worth (3 bits), its age (2 bits), the hash (11 bits). */
    static final int STEPS = 32, HASH_BITS = 11, MOST = STEPS << HASH_BITS;
    /** Worth steps; classes of more different worths than that share the lowest. */
    static final int WORTHS = 8;
    /** Microseconds after which the hashes turn, so that nobody is last for long. */
    static final long TURNS = 60_000_000;
    /** Without room, over what the modules were given: above, the fleet is over its room and a cut begins. */
    static final double OVER = 0.25;
    /** That share under a cut: the modules are still given a little more than there is room for, so that all of it is used. */
    static final double KEPT = 0.12;
    /** Of all ranks in use, how far the cut moves in a second for what is given twice too much, or half too little. */
    private static final double SPEED = 0.25;
    /** Of what the modules have taken at most, what is forgotten in a second: a cut that lowers what is taken is too high. */
    private static final double FORGOTTEN = 0.08;
    /** So many times faster it falls: what it lets in too much the modules refuse, what it keeps out too long nobody serves. */
    private static final double FALLS = 3;
    /** A broker's figures count for at most so many times the median broker's: one that makes them up moves little. */
    private static final double LOUD = 3;
    /** So long without a cut before it is over, and what the modules have to be given a second for shares to say something. */
    private static final long CALM = 2_000_000;

    private static final double FEW = 2;

    /** A broker's figures: tries a second by step of rank, and of all of them what was taken and what had no room. */
    record Load(double[] demand, double taken, double unfit, int proposal) {
        private static final double UNIT = 20;

        byte[] write() {
            int mask = 0;
            for (int i = 0; i < STEPS; i++) {
                mask |= told(demand[i]) > 0 ? 1 << i : 0;
            }
            ByteBuffer b = ByteBuffer.allocate(4 + 2 + 2 + 2 + 2 * Integer.bitCount(mask));
            b.putInt(mask)
                    .putShort((short) told(taken))
                    .putShort((short) told(unfit))
                    .putShort((short) (proposal >> 4));
            for (int i = 0; i < STEPS; i++) {
                if ((mask >> i & 1) == 1) {
                    b.putShort((short) told(demand[i]));
                }
            }
            return b.array();
        }

        private static int told(double perSecond) {
            return (int) Math.min(0xFFFF, Math.round(perSecond * UNIT));
        }

        /** Null where it cannot be read; more figures behind those known are passed over. */
        static Load read(byte[] value) {
            ByteBuffer b = ByteBuffer.wrap(value);
            if (b.remaining() < 10) {
                return null;
            }
            int mask = b.getInt();
            double taken = (b.getShort() & 0xFFFF) / UNIT;
            double unfit = (b.getShort() & 0xFFFF) / UNIT;
            int proposal = (b.getShort() & 0xFFFF) << 4;
            double[] demand = new double[STEPS];
            for (int i = 0; i < STEPS; i++) {
                if ((mask >> i & 1) == 1) {
                    if (b.remaining() < 2) {
                        return null;
                    }
                    demand[i] = (b.getShort() & 0xFFFF) / UNIT;
                }
            }
            return new Load(demand, taken, unfit, Math.min(MOST, proposal));
        }

        double all() {
            double sum = 0;
            for (double d : demand) {
                sum += d;
            }
            return sum;
        }
    }

    private double proposal, able;
    private boolean on;
    private long zeroSince, movedAt;

    /** A rank's step: of its class's worth and its age. */
    static int step(int worth, int age) {
        return Math.min(WORTHS - 1, worth) << 2 | Math.min(3, age);
    }

    static int rank(int step, int viewer, long unixMicros) {
        int hash = Mix.mix(viewer, (int) (unixMicros / TURNS)) >>> 32 - HASH_BITS;
        return step << HASH_BITS | hash;
    }

    /**
     * This broker's proposal by the rows that it holds; {@code mine} is its own, the others' are of those that are there.
     * Where it begins it is set by the demand; from there it moves by what the modules find no room for, since those under
     * the cut come again and again and their tries tell nothing of how many would come if they were let in.
     */
    int propose(long now, Load mine, List<Load> others) {
        double[] demand = mine.demand().clone();
        double taken = mine.taken();
        double unfit = mine.unfit();
        double most = 1 + LOUD * median(mine, others);
        for (Load l : others) {
            double counts = Math.min(1, most / Math.max(1e-9, Math.max(l.all(), l.taken() + l.unfit())));
            for (int i = 0; i < STEPS; i++) {
                demand[i] += counts * l.demand()[i];
            }
            taken += counts * l.taken();
            unfit += counts * l.unfit();
        }
        double given = taken + unfit;
        double refused = given > 0 ? unfit / given : 0;
        long passed = Math.min(1_000_000, now - movedAt);
        movedAt = now;
        able = Math.max(taken, able * (1 - FORGOTTEN * passed / 1e6));
        if (!on) {
            on = given > FEW && refused > OVER;
            proposal = on ? rankAt(demand, taken / (1 - KEPT)) : 0;
            zeroSince = 0;
            return (int) proposal;
        }
        int low = 0;
        int high = STEPS;
        while (low < STEPS - 1 && demand[low] <= 0) {
            low++;
        }
        while (high > low + 1 && demand[high - 1] <= 0) {
            high--;
        }
        double span = (high - low) << HASH_BITS;
        double wanted = given > 0 ? able / (1 - KEPT) / given - 1 : 1; // over what is given now
        double faster = refused < KEPT / 2 ? 0.5 : 0;
        double move = Math.max(-1, Math.min(1, wanted + faster));
        proposal -= SPEED * span * (move > 0 ? FALLS : 1) * move * passed / 1e6;
        // What is worth most is the modules' to take or refuse: it is not shed for what is worth less.
        int top = high - 1 >> 2 << 2;
        proposal = Math.max(low << HASH_BITS, Math.min(proposal, (top > low ? top : high) << HASH_BITS));
        if (proposal > low << HASH_BITS) {
            zeroSince = 0;
        } else if (zeroSince == 0) {
            zeroSince = now;
        } else if (now - zeroSince > CALM) {
            on = false;
            proposal = 0;
        }
        return (int) proposal;
    }

    private static double median(Load mine, List<Load> others) {
        List<Double> all = new ArrayList<>(List.of(mine.all()));
        others.forEach(l -> all.add(l.all()));
        Collections.sort(all);
        return all.get(all.size() / 2);
    }

    /** The rank over which the demand is what there is room for. */
    static int rankAt(double[] demand, double room) {
        double left = room;
        for (int i = STEPS - 1; i >= 0; i--) {
            if (demand[i] > left) {
                return (i + 1 << HASH_BITS) - (int) (left / demand[i] * (1 << HASH_BITS));
            }
            left -= demand[i];
        }
        return 0;
    }

    /** The cut in force: the median of the proposals, of those that are there. */
    static int inForce(List<Integer> proposals) {
        if (proposals.isEmpty()) {
            return 0;
        }
        List<Integer> sorted = new ArrayList<>(proposals);
        Collections.sort(sorted);
        return sorted.get((sorted.size() - 1) / 2);
    }

    /** When a refused viewer is to come back: its own place in each stretch of {@code longest}, the same at every broker. */
    static long appointment(int viewer, long unixMicros, long soonest, long longest) {
        if (longest <= 0) {
            return 0;
        }
        long place = (long) (Mix.unit(Mix.mix(viewer, 0xa99)) * longest);
        long back = Math.floorMod(place - unixMicros, longest);
        return back >= soonest ? back : Math.min(longest, back + longest);
    }

    /** Whether a viewer that comes again now comes at its place, give or take {@code slack}. */
    static boolean keeps(int viewer, long unixMicros, long longest, long early, long late) {
        if (longest <= 0) {
            return true;
        }
        long place = (long) (Mix.unit(Mix.mix(viewer, 0xa99)) * longest);
        long after = Math.floorMod(unixMicros - place, longest);
        return after <= late || after >= longest - early;
    }
}
