package dockshed.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * Observed changes of the brokers' knowledge since the previous collection, in the order observed for each broker.
 *
 * @param membership changes of the subjects that brokers list
 * @param changes    published changes that brokers learned of
 */
record Observations(List<MembershipChange> membership, List<ChangeObservation> changes) {
    /** No observations yet; the lists can be added to. */
    static Observations empty() {
        return new Observations(new ArrayList<>(), new ArrayList<>());
    }

    boolean isEmpty() {
        return membership.isEmpty() && changes.isEmpty();
    }

    void add(Observations other) {
        membership.addAll(other.membership);
        changes.addAll(other.changes);
    }
}
