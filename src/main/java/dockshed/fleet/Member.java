package dockshed.fleet;

import java.util.HashSet;
import java.util.Set;

/** Another broker as this one knows it. Times are microseconds of this broker's clock. */
final class Member {
    /** State of a member; the order is that of the wire. */
    enum State {
        /** Configured, and nothing received about it yet. */
        UNKNOWN,
        /** Answers probes. */
        ALIVE,
        /** Did not answer, but may still do so. */
        SUSPECT,
        /** Did not answer until its suspicion timed out. */
        DEAD,
        /** Announced its graceful shutdown. */
        LEFT
    }

    final int number;
    State state = State.UNKNOWN;
    /** The latest incarnation known. */
    long incarnation;
    /** When its last datagram arrived. */
    long lastReceivedAt = Long.MIN_VALUE / 2;
    /** When the member entered its state. */
    long stateSince;
    /** The highest serial number received in its datagrams. */
    int serial;
    /** Which of the 64 serials up to the highest have arrived; bit 0 stands for the highest. */
    long serialWindow;
    /** Whether any of its datagrams has arrived in its incarnation. */
    boolean hasReceived;
    /** How many times its state was gossiped. */
    int timesSent;
    /** Brokers that reported it as suspect or dead. */
    final Set<Integer> accusers = new HashSet<>();
    /** Datagrams that it may send before further ones are discarded. */
    double tokens = Membership.MAX_DATAGRAM_BURST;

    /** When {@link #tokens} was last refilled. */
    long tokensAt;
    /** Until then its reports about other members are ignored. */
    long distrustedUntil = Long.MIN_VALUE;

    Member(int number) {
        this.number = number;
    }

    /** Whether the broker counts as a member of the fleet: alive or only suspect. */
    boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
