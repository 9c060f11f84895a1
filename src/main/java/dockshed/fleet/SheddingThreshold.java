package dockshed.fleet;

import dockshed.fleet.ScopeSummaryStore.Estimate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * The load-shedding threshold: the priority below which all brokers refuse requests while the fleet is overloaded. A
 * request's priority is computed from the request alone (its class, whether it returns at its retry time or was
 * displaced, and a hash of the client that rotates with time), so every broker computes the same one. Each broker
 * replicates its load by priority step. From these figures each proposes a threshold, with hysteresis; the effective
 * one is the median of all proposals, which a single broker cannot move.
 */
final class SheddingThreshold {
    /** Number of priority steps; a step consists of the class level (3 bits) and the age (2 bits). */
    static final int PRIORITY_STEPS = 32;
    /** Number of low bits of a priority that hold the client's hash. */
    static final int HASH_BITS = 11;

    /** Upper limit of priorities and thresholds. */
    static final int MAX_PRIORITY = PRIORITY_STEPS << HASH_BITS;
    /** Number of class levels; if more classes differ in worth, the least valuable ones share the lowest level. */
    static final int CLASS_LEVELS = 8;

    private static final int AGE_BITS = 2;
    private static final int MAX_AGE_VALUE = (1 << AGE_BITS) - 1;
    /** Microseconds after which the hashes change, so that no client stays last for long. */
    static final long HASH_ROTATION_US = 60_000_000;
    /** Shedding starts when the decision modules reject more than this part of the requests that reach them. */
    static final double OVERLOAD_REJECTED_FRACTION = 0.25;
    /**
     * The part that is still rejected while shedding: slightly more requests pass than there is capacity for, so that
     * all of it is used.
     */
    static final double TARGET_REJECTED_FRACTION = 0.12;
    /** How far the threshold moves per second for an error of 1, as a part of the range in use. */
    private static final double ADJUST_SPEED_PER_SECOND = 0.25;
    /**
     * Part of the estimated capacity that decays per second: a threshold that reduces the accepted requests is too
     * high.
     */
    private static final double CAPACITY_DECAY_PER_SECOND = 0.08;
    /**
     * How many times faster the threshold falls than it rises: excess requests are rejected by the modules, but unused
     * capacity is lost.
     */
    private static final double FALL_FACTOR = 3;
    /** Added to the error while hardly any request is rejected. */
    private static final double EXTRA_FALL = 0.5;
    /**
     * A broker's figures count for at most this many times the median broker's, which limits the effect of forged ones.
     */
    private static final double MAX_WEIGHT = 3;
    /** Microseconds at the lowest threshold after which shedding ends. */
    private static final long CALM_TIME_US = 2_000_000;
    /** Requests per second below which the rejected part is not meaningful. */
    private static final double MIN_REQUESTS_PER_SECOND = 2;

    /** Maximum time since the previous proposal that one adjustment accounts for, in microseconds. */
    private static final long MAX_ADJUST_INTERVAL_US = 1_000_000;
    /** Makes the hash for retry times independent of the one for priorities. */
    private static final int RETRY_TIME_SALT = 0xa99;

    private double proposal;
    private double capacity;
    private boolean active;
    private long atLowestSince;
    private long movedAt;

    /** The priority step of a class level and an age. */
    static int step(int classLevel, int age) {
        return Math.min(CLASS_LEVELS - 1, classLevel) << AGE_BITS | Math.min(MAX_AGE_VALUE, age);
    }

    /** The priority of a client in a step: its hash orders it, and changes each {@link #HASH_ROTATION_US}. */
    static int priority(int step, int clientHash, long unixMicros) {
        int hash = StableHash.mix(clientHash, (int) (unixMicros / HASH_ROTATION_US)) >>> 32 - HASH_BITS;
        return step << HASH_BITS | hash;
    }

    /** The fleet's load: the own figures and those of the others, each limited by {@link #MAX_WEIGHT}. */
    private record FleetLoad(double[] demand, double accepted, double rejected) {
        static FleetLoad sum(LoadFigures own, List<LoadFigures> others) {
            double[] demand = own.demand().clone();
            double accepted = own.accepted();
            double rejected = own.rejected();
            double limit = 1 + MAX_WEIGHT * medianDemand(own, others);
            for (LoadFigures other : others) {
                double claimed = Math.max(other.totalDemand(), other.admitted());
                double weight = Math.min(1, limit / Math.max(1e-9, claimed));
                for (int step = 0; step < PRIORITY_STEPS; step++) {
                    demand[step] += weight * other.demand()[step];
                }
                accepted += weight * other.accepted();
                rejected += weight * other.rejected();
            }
            return new FleetLoad(demand, accepted, rejected);
        }

        /** Adds the other scopes' loads, each limited in the same way, by the load per broker of the median scope. */
        FleetLoad plus(int ownPresent, List<Estimate> scopes) {
            if (scopes.isEmpty()) {
                return this;
            }
            List<Double> perBroker = new ArrayList<>(List.of(sum(demand) / ownPresent));
            scopes.forEach(s -> perBroker.add(s.load().totalDemand() / s.present()));
            Collections.sort(perBroker);
            double limit = 1 + MAX_WEIGHT * perBroker.get(perBroker.size() / 2);
            double[] total = demand.clone();
            double allAccepted = accepted;
            double allRejected = rejected;
            for (Estimate scope : scopes) {
                LoadFigures load = scope.load();
                double claimed = Math.max(load.totalDemand(), load.admitted()) / scope.present();
                double weight = Math.min(1, limit / Math.max(1e-9, claimed));
                for (int step = 0; step < PRIORITY_STEPS; step++) {
                    total[step] += weight * load.demand()[step];
                }
                allAccepted += weight * load.accepted();
                allRejected += weight * load.rejected();
            }
            return new FleetLoad(total, allAccepted, allRejected);
        }

        private static double sum(double[] all) {
            double sum = 0;
            for (double rate : all) {
                sum += rate;
            }
            return sum;
        }

        double admitted() {
            return accepted + rejected;
        }

        double rejectedPart() {
            return admitted() > 0 ? rejected / admitted() : 0;
        }

        int lowestStep() {
            int low = 0;
            while (low < PRIORITY_STEPS - 1 && demand[low] <= 0) {
                low++;
            }
            return low;
        }

        /** The first step above all demand. */
        int endStep() {
            int low = lowestStep();
            int end = PRIORITY_STEPS;
            while (end > low + 1 && demand[end - 1] <= 0) {
                end--;
            }
            return end;
        }
    }

    /**
     * This broker's proposal. It starts from the demand; from there it follows what the modules reject, because shed
     * clients retry repeatedly and their requests do not show how many would come if they were admitted.
     *
     * @param own    this broker's figures
     * @param others figures of the other present brokers of the scope
     * @param scopes what is known about the other scopes
     */
    int propose(long now, LoadFigures own, List<LoadFigures> others, List<Estimate> scopes) {
        FleetLoad load = FleetLoad.sum(own, others).plus(1 + others.size(), scopes);
        long elapsed = Math.min(MAX_ADJUST_INTERVAL_US, now - movedAt);
        movedAt = now;
        capacity = Math.max(load.accepted(), capacity * (1 - CAPACITY_DECAY_PER_SECOND * elapsed / 1e6));
        if (active) {
            adjust(now, load, elapsed);
        } else {
            startIfOverloaded(load);
        }
        return (int) proposal;
    }

    private void startIfOverloaded(FleetLoad load) {
        active = load.admitted() > MIN_REQUESTS_PER_SECOND && load.rejectedPart() > OVERLOAD_REJECTED_FRACTION;
        proposal = active ? priorityAt(load.demand(), load.accepted() / (1 - TARGET_REJECTED_FRACTION)) : 0;
        atLowestSince = 0;
    }

    private void adjust(long now, FleetLoad load, long elapsed) {
        int low = load.lowestStep();
        int end = load.endStep();
        double range = (end - low) << HASH_BITS;
        double given = load.admitted();
        double wanted = given > 0 ? capacity / (1 - TARGET_REJECTED_FRACTION) / given - 1 : 1;
        double faster = load.rejectedPart() < TARGET_REJECTED_FRACTION / 2 ? EXTRA_FALL : 0;
        double move = Math.max(-1, Math.min(1, wanted + faster));
        proposal -= ADJUST_SPEED_PER_SECOND * range * (move > 0 ? FALL_FACTOR : 1) * move * elapsed / 1e6;
        // Requests of the highest class in use are left to the modules: they are not shed in favour of lower ones.
        int highestClass = end - 1 >> AGE_BITS << AGE_BITS;
        int lowest = low << HASH_BITS;
        int highest = (highestClass > low ? highestClass : end) << HASH_BITS;
        proposal = Math.max(lowest, Math.min(proposal, highest));
        endIfCalm(now, lowest);
    }

    private void endIfCalm(long now, int lowest) {
        if (proposal > lowest) {
            atLowestSince = 0;
        } else if (atLowestSince == 0) {
            atLowestSince = now;
        } else if (now - atLowestSince > CALM_TIME_US) {
            active = false;
            proposal = 0;
        }
    }

    private static double medianDemand(LoadFigures own, List<LoadFigures> others) {
        List<Double> all = new ArrayList<>(List.of(own.totalDemand()));
        others.forEach(figures -> all.add(figures.totalDemand()));
        Collections.sort(all);
        return all.get(all.size() / 2);
    }

    /** The priority above which the demand equals {@code capacity} requests per second. */
    static int priorityAt(double[] demand, double capacity) {
        double left = capacity;
        for (int step = PRIORITY_STEPS - 1; step >= 0; step--) {
            if (demand[step] > left) {
                return (step + 1 << HASH_BITS) - (int) (left / demand[step] * (1 << HASH_BITS));
            }
            left -= demand[step];
        }
        return 0;
    }

    /** The load of a scope, with the median of its proposals; no broker counts for more than it does in a proposal. */
    static LoadFigures scopeLoad(LoadFigures own, List<LoadFigures> others) {
        FleetLoad load = FleetLoad.sum(own, others);
        List<Integer> proposals = new ArrayList<>(List.of(own.proposal()));
        others.forEach(figures -> proposals.add(figures.proposal()));
        return new LoadFigures(load.demand(), load.accepted(), load.rejected(), effectiveThreshold(proposals));
    }

    /**
     * The effective threshold in a fleet of several scopes: the median of their proposals, weighted by their present
     * brokers.
     */
    static int effectiveThreshold(int ownProposal, int ownPresent, List<Estimate> scopes) {
        List<Estimate> byProposal = new ArrayList<>(scopes);
        LoadFigures own = new LoadFigures(new double[PRIORITY_STEPS], 0, 0, ownProposal);
        byProposal.add(new Estimate(null, 0, ownPresent, own));
        byProposal.sort(Comparator.comparingInt(scope -> scope.load().proposal()));
        int all = byProposal.stream().mapToInt(Estimate::present).sum();
        int below = 0;
        for (Estimate scope : byProposal) {
            below += scope.present();
            if (2 * below >= all) {
                return scope.load().proposal();
            }
        }
        return ownProposal;
    }

    /** The effective threshold in one scope: the median of the proposals. */
    static int effectiveThreshold(List<Integer> proposals) {
        if (proposals.isEmpty()) {
            return 0;
        }
        List<Integer> sorted = new ArrayList<>(proposals);
        Collections.sort(sorted);
        return sorted.get((sorted.size() - 1) / 2);
    }

    /**
     * Microseconds until a shed client's retry time: its own offset in each period of {@code longest}, the same at
     * every broker. At least {@code soonest}; 0 if {@code longest} is not positive.
     */
    static long retryAfter(int clientHash, long unixMicros, long soonest, long longest) {
        if (longest <= 0) {
            return 0;
        }
        long delay = Math.floorMod(retryPhase(clientHash, longest) - unixMicros, longest);
        return delay >= soonest ? delay : Math.min(longest, delay + longest);
    }

    /**
     * Whether a client that comes now comes at its retry time, up to {@code early} microseconds before or {@code late}
     * after it.
     */
    static boolean keepsRetryTime(int clientHash, long unixMicros, long longest, long early, long late) {
        if (longest <= 0) {
            return true;
        }
        long after = Math.floorMod(unixMicros - retryPhase(clientHash, longest), longest);
        return after <= late || after >= longest - early;
    }

    /** A client's offset within each period of {@code longest} microseconds. */
    private static long retryPhase(int clientHash, long longest) {
        return (long) (StableHash.unit(StableHash.mix(clientHash, RETRY_TIME_SALT)) * longest);
    }
}
