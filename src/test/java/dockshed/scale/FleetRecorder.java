package dockshed.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whom each broker lists, since when, and which changes it knows: put together from what was observed and held against
 * what the script did. Times are milliseconds of the fleet's clock.
 */
final class FleetRecorder {
    /** Whoever is called dead so soon after it was back was not given up anew: an older suspicion ran out. */
    static final long SETTLING_TIME_MILLIS = 5_000;

    private final Visibility visibility;
    private final BitSet running = new BitSet();
    private final BitSet[] listed;
    private final long[][] changedAt; // [observer][subject]: when it was last listed or listed no more
    private final long[] startedAt;
    private final Outages outages = new Outages();
    private final Set<Integer> falseDeaths = new HashSet<>();
    private final Set<Integer> falseScopeLosses = new HashSet<>();
    private final Set<Integer> lateDeaths = new HashSet<>();
    private final Map<Integer, Map<Integer, Long>> knownAt = new HashMap<>(); // by change, then observer

    FleetRecorder(Visibility visibility, int brokers) {
        this.visibility = visibility;
        listed = new BitSet[brokers];
        changedAt = new long[brokers][visibility.subjectCount()];
        startedAt = new long[brokers];
        for (int i = 0; i < brokers; i++) {
            listed[i] = new BitSet();
        }
    }

    Outages outages() {
        return outages;
    }

    BitSet running() {
        return (BitSet) running.clone();
    }

    void started(BitSet brokers, long atMillis) {
        brokers.stream().forEach(broker -> {
            running.set(broker);
            listed[broker].clear();
            startedAt[broker] = atMillis;
            outages.up(broker, atMillis);
        });
    }

    void stopped(BitSet brokers, long atMillis) {
        brokers.stream().forEach(broker -> {
            running.clear(broker);
            outages.down(broker, atMillis);
        });
    }

    void record(Observations observations) {
        List<MembershipChange> ordered = new ArrayList<>(observations.membership());
        ordered.sort((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        ordered.forEach(this::record);
        for (ChangeObservation seen : observations.changes()) {
            knownAt.computeIfAbsent(seen.change(), x -> new HashMap<>()).putIfAbsent(seen.observer(), seen.atMillis());
        }
    }

    private void record(MembershipChange change) {
        int observer = change.observer();
        if (!running.get(observer) || change.atMillis() < startedAt[observer]) {
            return; // of an earlier life
        }
        BrokerRanges.parse(change.lost()).stream().forEach(subject -> {
            listed[observer].clear(subject);
            changedAt[observer][subject] = change.atMillis();
            classifyLoss(observer, subject, change.atMillis());
        });
        BrokerRanges.parse(change.found()).stream().forEach(subject -> {
            listed[observer].set(subject);
            changedAt[observer][subject] = change.atMillis();
        });
    }

    /** A scope is there as long as one of its brokers is. */
    private void classifyLoss(int observer, int subject, long atMillis) {
        boolean isScope = visibility.isScope(subject);
        if (reachable(observer, subject, atMillis - SETTLING_TIME_MILLIS, atMillis)) {
            (isScope ? falseScopeLosses : falseDeaths).add(subject);
        } else if (!isScope && reachable(observer, subject, atMillis, atMillis)) {
            lateDeaths.add(subject);
        }
    }

    private boolean reachable(int observer, int subject, long fromMillis, long untilMillis) {
        return visibility.brokersOf(subject).stream()
                .anyMatch(member -> outages.reachable(observer, member, fromMillis, untilMillis));
    }

    /** Brokers called dead falsely since the last time they were asked for. */
    int drainFalseDeaths() {
        return drain(falseDeaths);
    }

    int drainLateDeaths() {
        return drain(lateDeaths);
    }

    int drainFalseScopeLosses() {
        return drain(falseScopeLosses);
    }

    private static int drain(Set<Integer> subjects) {
        int count = subjects.size();
        subjects.clear();
        return count;
    }

    /** Whether each of some observers lists all, or none, of those subjects that it is to know of. */
    boolean listsMatch(BitSet observers, BitSet subjects, boolean present) {
        return observers.stream().allMatch(observer -> {
            BitSet expected = expected(observer, subjects);
            BitSet matching = (BitSet) listed[observer].clone();
            matching.and(expected);
            return present ? matching.equals(expected) : matching.isEmpty();
        });
    }

    private BitSet expected(int observer, BitSet subjects) {
        BitSet expected = visibility.expectedSubjects(observer);
        expected.and(subjects);
        return expected;
    }

    /** From a time until each of some observers listed each subject, or listed it no more; infinite where it does not yet. */
    Delays listingDelays(BitSet observers, BitSet subjects, boolean present, long sinceMillis) {
        Delays delays = new Delays();
        observers.stream()
                .forEach(observer -> expected(observer, subjects).stream()
                        .filter(subject -> subject != observer)
                        .forEach(subject -> {
                            if (listed[observer].get(subject) == present) {
                                delays.add(Math.max(0, changedAt[observer][subject] - sinceMillis));
                            } else {
                                delays.addUnfinished();
                            }
                        }));
        return delays;
    }

    /** From a time until each of some observers knew a change. */
    Delays changeDelays(BitSet observers, int change, long sinceMillis) {
        Delays delays = new Delays();
        Map<Integer, Long> known = knownAt.getOrDefault(change, Map.of());
        observers.stream().forEach(observer -> {
            if (known.containsKey(observer)) {
                delays.add(Math.max(0, known.get(observer) - sinceMillis));
            } else {
                delays.addUnfinished();
            }
        });
        return delays;
    }
}
