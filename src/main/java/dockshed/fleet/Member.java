package dockshed.fleet;

import java.util.HashSet;
import java.util.Set;

/** Another broker as this one knows it. Times are microseconds. */
final class Member {
    /** What is known of a member; the order is that of the wire. */
    enum State {
        /** Configured, never heard of. */
        UNKNOWN,
        /** Answers. */
        ALIVE,
        /** Did not answer, and may still. */
        SUSPECT,
        /** Did not answer for the time of a suspicion. */
        DEAD,
        /** Announced its graceful shutdown. */
        LEFT
    }

    final int number;
    State state = State.UNKNOWN;
    /** The latest known. */
    long incarnation;
    /** When a datagram of its own last arrived. */
    long lastReceivedAt = Long.MIN_VALUE / 2;
    /** When it entered its state. */
    long stateSince;
    /** The highest serial of its own datagrams. */
    int serial;
    /** Which of the 64 serials up to the highest have arrived: bit 0 is the highest. */
    long serialWindow;
    /** Whether a datagram of its own ever arrived in its incarnation. */
    boolean hasReceived;
    /** How often its state was gossiped. */
    int timesSent;
    /** Those that called it suspect or dead. */
    final Set<Integer> accusers = new HashSet<>();
    /** Datagrams that it may send before they are discarded. */
    double tokens = Membership.MAX_DATAGRAM_BURST;

    long tokensAt;
    /** Until then what it says of others is ignored. */
    long distrustedUntil = Long.MIN_VALUE;

    Member(int number) {
        this.number = number;
    }

    /** Whether it counts as a member of the fleet: alive, or suspect only. */
    boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
