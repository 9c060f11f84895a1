package dockshed.scale;

import dockshed.topology.Scope;
import dockshed.topology.ZoneMap;
import java.util.BitSet;

/**
 * Which subjects a broker is expected to list. A subject is a number: a broker's, or, above those, one for each gossip scope
 * of the fleet, which stands for the scope's summary. In a fleet without zones each broker lists all brokers. In one with
 * zones it lists the brokers of its own scope, and each other scope of which it holds a summary.
 */
final class Visibility {
    private final int brokers;
    private final ZoneMap zones;

    Visibility(ZoneMap zones) {
        this.zones = zones;
        brokers = zones.brokers();
    }

    /** Number of subjects, brokers and scopes together. */
    int subjectCount() {
        return brokers + zones.scopes().size();
    }

    /** The subject that stands for a scope. */
    int subjectOfScope(int scope) {
        return brokers + scope;
    }

    /** Whether a subject stands for a scope. */
    boolean isScope(int subject) {
        return subject >= brokers;
    }

    /** The subjects that a broker lists in the absence of faults, itself included. */
    BitSet expectedSubjects(int observer) {
        Scope own = zones.scopeOf(observer);
        BitSet expected = BrokerRanges.between(own.first(), own.first() + own.size());
        if (zones.zoned()) {
            expected.set(brokers, subjectCount());
            expected.clear(subjectOfScope(own.number()));
        }
        return expected;
    }

    /** The brokers of a subject: the broker itself, or those of the scope. */
    BitSet brokersOf(int subject) {
        if (subject < brokers) {
            return BrokerRanges.of(subject);
        }
        Scope scope = zones.scopes().get(subject - brokers);
        return BrokerRanges.between(scope.first(), scope.first() + scope.size());
    }

    /** The subjects of a set of brokers and of the scopes that contain at least one of them. */
    BitSet withScopesTouched(BitSet set) {
        BitSet subjects = (BitSet) set.clone();
        for (Scope scope : zones.scopes()) {
            if (brokersOf(subjectOfScope(scope.number())).intersects(set)) {
                subjects.set(subjectOfScope(scope.number()));
            }
        }
        return subjects;
    }

    /** The subjects of a set of brokers and of the scopes all of whose brokers are in the set. */
    BitSet withScopesCovered(BitSet set) {
        BitSet subjects = (BitSet) set.clone();
        for (Scope scope : zones.scopes()) {
            if (BrokerRanges.minus(brokersOf(subjectOfScope(scope.number())), set)
                    .isEmpty()) {
                subjects.set(subjectOfScope(scope.number()));
            }
        }
        return subjects;
    }

    /** The brokers in the scope of a broker, itself included. */
    BitSet brokersInScopeOf(int broker) {
        Scope scope = zones.scopeOf(broker);
        return BrokerRanges.between(scope.first(), scope.first() + scope.size());
    }
}
