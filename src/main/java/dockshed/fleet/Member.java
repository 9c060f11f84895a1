package dockshed.fleet;

import java.util.HashSet;
import java.util.Set;

/** Another broker as this one knows it. Times are microseconds. */
final class Member {
    /** UNKNOWN: configured, never heard of. SUSPECT: did not answer, and may still. LEFT: said so at its planned end. */
    enum State {
        UNKNOWN,
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    final int number;
    State state = State.UNKNOWN;
    long incarnation; // the latest known
    long heardAt = Long.MIN_VALUE / 2; // when a datagram of its own last came
    long since; // in this state
    int serial; // the highest of a datagram of its own
    long window; // of the 64 serials up to that one, those that came: bit 0 is the highest
    boolean heard; // ever, in this life
    int sends; // how often its state was passed on
    final Set<Integer> accusers = new HashSet<>();
    double tokens = Membership.BURST; // datagrams that it may send before it is not read any more
    long tokensAt;
    long distrustedUntil = Long.MIN_VALUE; // until then it counts for itself only

    Member(int number) {
        this.number = number;
    }

    boolean there() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
