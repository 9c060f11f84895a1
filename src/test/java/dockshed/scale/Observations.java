package dockshed.scale;

import java.util.ArrayList;
import java.util.List;

/** What brokers were seen to know since the last time they were asked, in the order seen by each. */
record Observations(List<MembershipChange> membership, List<ChangeObservation> changes) {
    static Observations empty() {
        return new Observations(new ArrayList<>(), new ArrayList<>());
    }

    boolean isEmpty() {
        return membership.isEmpty() && changes.isEmpty();
    }

    void add(Observations more) {
        membership.addAll(more.membership);
        changes.addAll(more.changes);
    }
}
