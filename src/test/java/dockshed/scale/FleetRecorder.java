package dockshed.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records which subjects each broker lists as present, since when, and which changes it knows of. Compares the listings
 * with the outages that the script caused to find false deaths. Times are milliseconds of the fleet's clock; subjects are
 * numbered as {@link Visibility} describes.
 */
final class FleetRecorder {
    /** A broker declared dead this soon after it returned counts as late, not false: an earlier suspicion timed out. */
    static final long SETTLING_TIME_MILLIS = 5_000;

    private final Visibility visibility;
    private final BitSet running = new BitSet();
    private final BitSet[] listed;
    private final long[][] changedAt; // [observer][subject]: when the listing last changed
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
        for (int broker = 0; broker < brokers; broker++) {
            listed[broker] = new BitSet();
        }
    }

    /** The outages that the script has caused so far. */
    Outages outages() {
        return outages;
    }

    /** The brokers that the script has running, as a copy. */
    BitSet running() {
        return (BitSet) running.clone();
    }

    /** The script starts brokers; observations from before this time no longer count for them. */
    void started(BitSet brokers, long atMillis) {
        brokers.stream().forEach(broker -> {
            running.set(broker);
            listed[broker].clear();
            startedAt[broker] = atMillis;
            outages.up(broker, atMillis);
        });
    }

    /** The script stops brokers. */
    void stopped(BitSet brokers, long atMillis) {
        brokers.stream().forEach(broker -> {
            running.clear(broker);
            outages.down(broker, atMillis);
        });
    }

    /** Applies observations in the order of their times. */
    void record(Observations observations) {
        List<MembershipChange> ordered = new ArrayList<>(observations.membership());
        ordered.sort((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
        ordered.forEach(this::record);
        for (ChangeObservation seen : observations.changes()) {
            knownAt.computeIfAbsent(seen.change(), change -> new HashMap<>())
                    .putIfAbsent(seen.observer(), seen.atMillis());
        }
    }

    private void record(MembershipChange change) {
        int observer = change.observer();
        if (!running.get(observer) || change.atMillis() < startedAt[observer]) {
            return; // from before the observer stopped or restarted
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

    /** Counts a subject that left a listing as a false or late death; a scope is reachable while one of its brokers is. */
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

    /** Number of brokers that were declared dead while running and reachable, since the last call. */
    int drainFalseDeaths() {
        return drain(falseDeaths);
    }

    /** Number of brokers that were declared dead soon after their return, since the last call. */
    int drainLateDeaths() {
        return drain(lateDeaths);
    }

    /** Number of scopes that an observer lost while one of their brokers was reachable, since the last call. */
    int drainFalseScopeLosses() {
        return drain(falseScopeLosses);
    }

    private static int drain(Set<Integer> subjects) {
        int count = subjects.size();
        subjects.clear();
        return count;
    }

    /** Whether each observer lists all ({@code present}) or none of the subjects that it is expected to know of. */
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

    /** Delays from a time until each observer listed ({@code present}) or dropped each subject; unfinished if it has not. */
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

    /** Delays from a time until each observer knew of a change; unfinished if it does not. */
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
