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
    /** Refused for want of room, over all tries: above, the fleet is over its room; below, it is within again. */
    private static final double OVER = 0.10, WITHIN = 0.03;
    /** So long within before the cut ends; what is taken is hoped to be a little more than was, lest the cut bite for ever. */
    private static final long CALM = 2_000_000;
    private static final double HOPE = 1.08;
    /** A proposal moves only by more than this, of all ranks in use. */
    private static final double STILL = 0.02;

    /** A broker's figures: tries a second by step of rank, and of all of them what was taken and what had no room. */
    record Load(double[] demand, double taken, double unfit, int proposal) {
        private static final double UNIT = 20;

        byte[] write() {
            int mask = 0;
            for (int i = 0; i < STEPS; i++) {
                mask |= told(demand[i]) > 0 ? 1 << i : 0;
            }
            ByteBuffer b = ByteBuffer.allocate(4 + 2 + 2 + 2 + 2 * Integer.bitCount(mask));
            b.putInt(mask).putShort((short) told(taken)).putShort((short) told(unfit)).putShort((short) (proposal >> 4));
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

    private int proposal;
    private boolean on;
    private long within;        // since when, while on
    private double room;        // what the fleet takes, a second

    /** A rank's step: of its class's worth and its age. */
    static int step(int worth, int age) {
        return Math.min(WORTHS - 1, worth) << 2 | Math.min(3, age);
    }

    static int rank(int step, int viewer, long unixMicros) {
        int hash = Mix.mix(viewer, (int) (unixMicros / TURNS)) >>> 32 - HASH_BITS;
        return step << HASH_BITS | hash;
    }

    /** This broker's proposal by the rows that it holds; {@code mine} is its own, the others' are of those that are there. */
    int propose(long now, Load mine, List<Load> others) {
        double[] demand = mine.demand().clone();
        double taken = mine.taken();
        double unfit = mine.unfit();
        for (Load l : others) {
            for (int i = 0; i < STEPS; i++) {
                demand[i] += l.demand()[i];
            }
            taken += l.taken();
            unfit += l.unfit();
        }
        double all = 0;
        for (double d : demand) {
            all += d;
        }
        double refused = all > 0 ? unfit / all : 0;
        double shed = all > 0 ? Math.max(0, 1 - (taken + unfit) / all) : 0;     // under the cut, not tried at all
        if (!on && refused > OVER) {
            on = true;
            room = taken;
        } else if (on && refused + shed < WITHIN) {
            within = within == 0 ? now : within;
            on = now - within < CALM;
        } else {
            within = 0;
        }
        if (!on) {
            proposal = 0;
            within = 0;
            return proposal;
        }
        room += 0.5 * (taken * (refused < WITHIN ? HOPE : 1) - room);
        int found = rankAt(demand, room);
        if (proposal == 0 || Math.abs(found - proposal) > STILL * span(demand)) {
            proposal = found;
        }
        return proposal;
    }

    private static double span(double[] demand) {
        int used = 0;
        for (double d : demand) {
            used += d > 0 ? 1 : 0;
        }
        return Math.max(1, used) << HASH_BITS;
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
