package dockshed.scale;

import dockshed.topology.Scope;
import dockshed.topology.ZoneMap;
import java.util.BitSet;

/**
 * Whom a broker is to know of. Subjects are numbers: those of the brokers, and behind them one for each gossip scope of the
 * fleet, which stands for that scope's summary. In a fleet without zones each broker lists all others; in one with zones
 * those of its own scope, and of each other scope whether anything is known.
 */
final class Visibility {
    private final int brokers;
    private final ZoneMap zones;

    Visibility(ZoneMap zones) {
        this.zones = zones;
        brokers = zones.brokers();
    }

    int subjectCount() {
        return brokers + zones.scopes().size();
    }

    /** The subject that stands for a scope. */
    int subjectOfScope(int scope) {
        return brokers + scope;
    }

    boolean isScope(int subject) {
        return subject >= brokers;
    }

    /** The subjects that a broker knows of while all is well. */
    BitSet expectedSubjects(int observer) {
        Scope own = zones.scopeOf(observer);
        BitSet watched = BrokerRanges.between(own.first(), own.first() + own.size());
        if (zones.zoned()) {
            watched.set(brokers, subjectCount());
            watched.clear(subjectOfScope(own.number()));
        }
        return watched;
    }

    /** The brokers that a subject consists of. */
    BitSet brokersOf(int subject) {
        if (subject < brokers) {
            return BrokerRanges.of(subject);
        }
        Scope scope = zones.scopes().get(subject - brokers);
        return BrokerRanges.between(scope.first(), scope.first() + scope.size());
    }

    /** Brokers and the scopes that have one of them. */
    BitSet withScopesTouched(BitSet of) {
        BitSet subjects = (BitSet) of.clone();
        for (Scope scope : zones.scopes()) {
            if (brokersOf(subjectOfScope(scope.number())).intersects(of)) {
                subjects.set(subjectOfScope(scope.number()));
            }
        }
        return subjects;
    }

    /** Brokers and the scopes that have no other. */
    BitSet withScopesCovered(BitSet of) {
        BitSet subjects = (BitSet) of.clone();
        for (Scope scope : zones.scopes()) {
            if (BrokerRanges.minus(brokersOf(subjectOfScope(scope.number())), of)
                    .isEmpty()) {
                subjects.set(subjectOfScope(scope.number()));
            }
        }
        return subjects;
    }

    /** The brokers of the scope that a broker is in. */
    BitSet brokersInScopeOf(int broker) {
        Scope scope = zones.scopeOf(broker);
        return BrokerRanges.between(scope.first(), scope.first() + scope.size());
    }
}
