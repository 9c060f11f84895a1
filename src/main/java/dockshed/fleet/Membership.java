package dockshed.fleet;

import dockshed.fleet.Envelope.BodyWriter;
import dockshed.fleet.Envelope.Item;
import dockshed.fleet.Member.State;
import dockshed.topology.Scope;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Which brokers are present: SWIM's probing in turn, suspicion and incarnations, with Lifeguard's local health score. A
 * broker that is slow itself gives the others more time, and one that stalled discards the probes under way.
 *
 * <p>Trust: another broker's report makes this one suspect a member, but no more. A member counts as dead only once it
 * has answered neither this broker nor any broker that reports an answer until its suspicion times out, and a datagram
 * from the member itself ends any suspicion. So a byzantine peer costs probes, never a member.
 */
final class Membership {
    /** Time between two probes in microseconds; increases with the local health score. */
    static final long PROBE_PERIOD_US = 500_000;
    /**
     * Microseconds that a probe's answer may take before other brokers are asked to probe; increases with the local
     * health score.
     */
    static final long ACK_TIMEOUT_US = 150_000;
    /**
     * Members asked for an indirect probe; also the number of further accusers that shorten a suspicion to its minimum.
     */
    static final int INDIRECT_PROBES = 3;
    /** The worst local health score: periods are five times as long then. */
    static final int MAX_HEALTH_SCORE = 4;
    /** Added to the local health score by a stall of this process. */
    private static final int STALL_HEALTH_SCORE = 2;
    /** Shortest suspicion, in probe periods times the logarithm of the tier's size. */
    private static final double MIN_SUSPICION_PERIODS = 5;
    /** Ratio of the longest suspicion to the shortest. */
    private static final double MAX_SUSPICION_FACTOR = 4;
    /** Microseconds between two probes of dead members: nothing announces the end of a partition. */
    static final long DEAD_RETRY_PERIOD_US = 3_000_000;
    /** Datagrams read per second from one sender; a correct one sends fewer than ten. */
    static final double MAX_DATAGRAMS_PER_SECOND = 40;
    /** Datagrams read at once from one sender. */
    static final double MAX_DATAGRAM_BURST = 80;
    /** Microseconds for which a relay caught forging is not trusted about other members. */
    static final long DISTRUST_TIME_US = 60_000_000;
    /** Serial numbers up to the highest that are still read, each once. */
    private static final int SERIAL_WINDOW = 64;
    /** Maximum number of indirect probes in progress for other brokers. */
    private static final int MAX_RELAYED_PROBES = 4 * INDIRECT_PROBES;
    /** Length of a member's state as an item. */
    private static final int UPDATE_BYTES = 11;

    private static final int MAX_U16 = 0xFFFF;

    /** A probe in progress. */
    private static final class Probe {
        final Member target;
        final long sentAt;
        /** Whether other brokers were asked to probe, too. */
        boolean indirect;

        Probe(Member target, long sentAt) {
            this.target = target;
            this.sentAt = sentAt;
        }
    }

    /** An indirect probe for another broker: the requester, its number for the probe, and when the probe expires. */
    private record RelayedProbe(int requester, int number, long until) {}

    /** Sends a datagram that contains at least these items. */
    interface ItemSender {
        void send(int to, List<Item> items);
    }

    /** This broker's number. */
    final int me;

    private final Scope scope;
    /** The brokers of the scope, in the order of their numbers. */
    private final Member[] members;

    private final SplittableRandom random;
    /** Brokers that remain in the current round of probes; the last is probed next. */
    private final List<Integer> probeOrder = new ArrayList<>();

    private final Map<Integer, Probe> probes = new HashMap<>();
    private final Map<Integer, RelayedProbe> relayedProbes = new HashMap<>();
    /** Microseconds between two probes at the best health score. */
    private final long basePeriod;

    private long incarnation;
    private long nextProbeAt;
    private long nextDeadProbeAt;
    private int healthScore;
    private int lastProbeNumber;
    private boolean leaving;
    private boolean suspectsFirst;
    /** Suspicions of this broker that it refuted, since the start. */
    int refutations;
    /** Suspicions of other members that ended with a datagram from them, since the start. */
    int clearedSuspicions;

    /**
     * Creates the membership of a scope, with all other brokers unknown.
     *
     * @param stretch factor of the probe periods, 1 or more, for a small byte budget
     */
    Membership(int me, Scope scope, long incarnation, long now, double stretch, SplittableRandom random) {
        this.me = me;
        basePeriod = (long) (PROBE_PERIOD_US * stretch);
        this.incarnation = incarnation;
        this.random = random;
        this.scope = scope;
        members = new Member[scope.size()];
        for (int i = 0; i < members.length; i++) {
            members[i] = new Member(scope.first() + i);
            members[i].tokensAt = now;
        }
        member(me).state = State.ALIVE;
        member(me).incarnation = incarnation;
        nextProbeAt = now + random.nextLong(PROBE_PERIOD_US / 4);
        nextDeadProbeAt = now + DEAD_RETRY_PERIOD_US;
    }

    Scope scope() {
        return scope;
    }

    /** A broker of the scope. */
    Member member(int number) {
        return members[number - scope.first()];
    }

    /** The current incarnation of this broker, which refutations increase. */
    long incarnation() {
        return incarnation;
    }

    /** Numbers of the present brokers, this one included, in ascending order. */
    List<Integer> presentMembers() {
        List<Integer> out = new ArrayList<>();
        for (Member member : members) {
            if (member.isPresent()) {
                out.add(member.number);
            }
        }
        return out;
    }

    private long period() {
        return basePeriod * (1 + healthScore);
    }

    private long ackTimeout() {
        return ACK_TIMEOUT_US * (1 + healthScore);
    }

    /** How long a member stays suspect, in microseconds: the more accusers, the shorter (Lifeguard). */
    private long suspicionTime(Member member) {
        double shortest = MIN_SUSPICION_PERIODS * basePeriod * Math.max(1, Math.log10(members.length + 1));
        double longest = shortest * MAX_SUSPICION_FACTOR;
        int confirmations = Math.min(INDIRECT_PROBES, Math.max(0, member.accusers.size() - 1));
        double shortened = (longest - shortest) * Math.log(confirmations + 1) / Math.log(INDIRECT_PROBES + 1);
        return (long) Math.max(shortest, longest - shortened);
    }

    // ---- Time.

    /** When {@link #tick} is due. */
    long nextTickAt() {
        if (leaving) {
            return Long.MAX_VALUE;
        }
        return probes.isEmpty() ? nextProbeAt : Math.min(nextProbeAt, nextProbeTimeout());
    }

    private long nextProbeTimeout() {
        long due = Long.MAX_VALUE;
        for (Probe probe : probes.values()) {
            due = Math.min(due, probe.sentAt + (probe.indirect ? period() : ackTimeout()));
        }
        return due;
    }

    /**
     * Handles a stall of this process for {@code gap} microseconds: whatever was due meanwhile says nothing about the
     * others.
     */
    void resumeAfterStall(long now, long gap) {
        probes.clear();
        relayedProbes.clear();
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + STALL_HEALTH_SCORE);
        for (Member member : members) {
            member.stateSince += member.state == State.SUSPECT ? gap : 0;
            member.lastReceivedAt += gap;
            member.tokensAt = now;
            member.tokens = MAX_DATAGRAM_BURST;
        }
        nextProbeAt = now;
    }

    /** Does what is due: indirect probes, probe time-outs, ends of suspicions, the next probe. */
    void tick(long now, ItemSender out) {
        if (leaving) {
            return;
        }
        relayedProbes.values().removeIf(relayed -> relayed.until() < now);
        for (Map.Entry<Integer, Probe> pending : List.copyOf(probes.entrySet())) {
            checkProbe(now, pending.getKey(), pending.getValue(), out);
        }
        for (Member member : members) {
            if (member.state == State.SUSPECT && now - member.stateSince >= suspicionTime(member)) {
                setState(now, member, State.DEAD);
            }
        }
        if (now >= nextProbeAt) {
            nextProbeAt = now + period();
            Member target = nextTarget(now);
            if (target != null) {
                ping(now, target, out);
            }
        }
    }

    private void checkProbe(long now, int number, Probe probe, ItemSender out) {
        if (!probe.indirect && now - probe.sentAt >= ackTimeout()) {
            probe.indirect = true;
            for (int relay : randomPresent(INDIRECT_PROBES, probe.target.number)) {
                BodyWriter request = new BodyWriter().u16(number).u16(probe.target.number);
                out.send(relay, List.of(request.item(Envelope.PING_REQUEST)));
            }
        }
        if (now - probe.sentAt >= period()) {
            probes.remove(number);
            healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
            if (probe.target.state == State.ALIVE) {
                suspect(now, probe.target, me);
            }
        }
    }

    private void ping(long now, Member target, ItemSender out) {
        int number = nextProbeNumber();
        if (target.state != State.DEAD && target.state != State.LEFT) {
            probes.put(number, new Probe(target, now));
        }
        List<Item> items = new ArrayList<>(List.of(new BodyWriter().u16(number).item(Envelope.PING)));
        if (target.state == State.SUSPECT || target.state == State.DEAD) {
            items.add(memberItem(target)); // it can refute only what it receives
        }
        out.send(target.number, items);
    }

    private int nextProbeNumber() {
        return lastProbeNumber++ & MAX_U16;
    }

    /**
     * Every second time a suspect; once per {@link #DEAD_RETRY_PERIOD_US} a dead or unknown member; otherwise the next
     * of a shuffled round.
     */
    private Member nextTarget(long now) {
        suspectsFirst = !suspectsFirst;
        if (suspectsFirst) { // each broker that suspects it probes it: one answer clears it
            Member suspect = randomMember(member -> member.state == State.SUSPECT);
            if (suspect != null) {
                return suspect;
            }
        }
        if (now >= nextDeadProbeAt) {
            nextDeadProbeAt = now + DEAD_RETRY_PERIOD_US;
            Member gone = randomMember(member -> member.state == State.DEAD || member.state == State.UNKNOWN);
            if (gone != null) {
                return gone;
            }
        }
        return nextOfRound();
    }

    private Member randomMember(Predicate<Member> condition) {
        List<Member> matching = new ArrayList<>();
        for (Member member : members) {
            if (condition.test(member)) {
                matching.add(member);
            }
        }
        return matching.isEmpty() ? null : matching.get(random.nextInt(matching.size()));
    }

    /** The next member of the round, in which each is probed once; starts the next round if this one is over. */
    private Member nextOfRound() {
        for (int round = 0; round < 2; round++) {
            Member next = restOfRound();
            if (next != null) {
                return next;
            }
            shuffleRound();
            if (!probeOrder.isEmpty() && isAlone()) {
                return member(probeOrder.remove(probeOrder.size() - 1));
            }
        }
        return null;
    }

    private Member restOfRound() {
        while (!probeOrder.isEmpty()) {
            Member member = member(probeOrder.remove(probeOrder.size() - 1));
            if (member.isPresent() && probes.values().stream().noneMatch(probe -> probe.target == member)) {
                return member;
            }
        }
        return null;
    }

    private void shuffleRound() {
        for (Member member : members) {
            // Until a broker answers, every configured peer is a seed.
            boolean seed = member.state == State.UNKNOWN && isAlone();
            if (member.number != me && (member.isPresent() || seed)) {
                probeOrder.add(random.nextInt(probeOrder.size() + 1), member.number);
            }
        }
    }

    /** Whether no other broker is present. */
    boolean isAlone() {
        for (Member member : members) {
            if (member.number != me && member.isPresent()) {
                return false;
            }
        }
        return true;
    }

    /** Up to {@code count} other present brokers at random, without {@code except}. */
    List<Integer> randomPresent(int count, int except) {
        List<Integer> all = new ArrayList<>();
        for (Member member : members) {
            if (member.number != me && member.number != except && member.isPresent()) {
                all.add(random.nextInt(all.size() + 1), member.number);
            }
        }
        return all.subList(0, Math.min(count, all.size()));
    }

    // ---- Receiving.

    /**
     * Whether a datagram is read: its sender is known and within its rate, and it is of the sender's latest incarnation
     * and not a repeat.
     *
     * @param latestIncarnation the latest one that is plausible
     */
    boolean admits(long now, Envelope envelope, long latestIncarnation) {
        if (!scope.contains(envelope.sender())
                || envelope.sender() == me
                || envelope.incarnation() > latestIncarnation) {
            return false;
        }
        Member sender = member(envelope.sender());
        if (!takeToken(now, sender) || envelope.incarnation() < sender.incarnation) {
            return false;
        }
        if (envelope.incarnation() == sender.incarnation && sender.hasReceived) {
            return isNewSerial(sender, envelope.serial());
        }
        return true;
    }

    /** Whether another datagram of that member may cost work now. */
    boolean takeToken(long now, int number) {
        return takeToken(now, member(number));
    }

    private static boolean takeToken(long now, Member sender) {
        double refilled = sender.tokens + (now - sender.tokensAt) * MAX_DATAGRAMS_PER_SECOND / 1e6;
        sender.tokens = Math.min(MAX_DATAGRAM_BURST, refilled);
        sender.tokensAt = now;
        if (sender.tokens < 1) {
            return false;
        }
        sender.tokens--;
        return true;
    }

    private static boolean isNewSerial(Member sender, int serial) {
        int behind = sender.serial - serial;
        return behind < 0 || behind < SERIAL_WINDOW && (sender.serialWindow >> behind & 1) == 0;
    }

    /** Whether a datagram's sender does not know yet under which incarnation it is gossiped about. */
    boolean hasStaleIncarnation(Envelope envelope) {
        return scope.contains(envelope.sender())
                && envelope.sender() != me
                && envelope.incarnation() < member(envelope.sender()).incarnation;
    }

    /** The state held of a member, sent to it so that it can refute it. */
    Item stateItem(int number) {
        return memberItem(member(number));
    }

    /**
     * A datagram of the sender's own arrived, so it is present, whatever others report. Returns whether it was not
     * present before or has restarted.
     */
    boolean datagramReceived(long now, Envelope envelope) {
        Member sender = member(envelope.sender());
        boolean later = envelope.incarnation() > sender.incarnation;
        boolean joined = later || !sender.hasReceived || !sender.isPresent();
        recordSerial(sender, envelope.serial(), later || !sender.hasReceived);
        sender.incarnation = envelope.incarnation();
        sender.hasReceived = true;
        sender.lastReceivedAt = now;
        if (sender.state == State.LEFT && !later) {
            return false;
        }
        clearedSuspicions += sender.state == State.SUSPECT ? 1 : 0;
        if (sender.state != State.ALIVE) {
            setState(now, sender, State.ALIVE);
        }
        sender.accusers.clear();
        return joined;
    }

    private static void recordSerial(Member sender, int serial, boolean firstOfIncarnation) {
        int ahead = serial - sender.serial;
        if (firstOfIncarnation || ahead >= SERIAL_WINDOW) {
            sender.serialWindow = 1;
            sender.serial = serial;
        } else if (ahead > 0) {
            sender.serialWindow = sender.serialWindow << ahead | 1;
            sender.serial = serial;
        } else {
            sender.serialWindow |= 1L << -ahead;
        }
    }

    /** Handles an item of a kind that concerns membership; ignores others. */
    void handleItem(long now, int from, Item item, ItemSender out) {
        ByteBuffer in = item.read();
        switch (item.kind()) {
            case Envelope.PING -> {
                if (in.remaining() >= 2) {
                    out.send(from, List.of(new BodyWriter().u16(in.getShort()).item(Envelope.ACK)));
                }
            }
            case Envelope.ACK -> {
                if (in.remaining() >= 2) {
                    acknowledged(now, from, in.getShort() & MAX_U16, out);
                }
            }
            case Envelope.PING_REQUEST -> {
                if (in.remaining() >= 4) {
                    relayProbe(now, from, in.getShort() & MAX_U16, in.getShort() & MAX_U16, out);
                }
            }
            case Envelope.MEMBER -> {
                if (in.remaining() >= 9) {
                    applyUpdate(now, from, in.getShort() & MAX_U16, in.get() & 0xFF, Envelope.getU48(in));
                }
            }
            default -> {}
        }
    }

    private void relayProbe(long now, int requester, int number, int target, ItemSender out) {
        if (!scope.contains(target) || target == me || relayedProbes.size() >= MAX_RELAYED_PROBES) {
            return;
        }
        int own = nextProbeNumber();
        relayedProbes.put(own, new RelayedProbe(requester, number, now + period()));
        out.send(target, List.of(new BodyWriter().u16(own).item(Envelope.PING)));
    }

    private void acknowledged(long now, int from, int number, ItemSender out) {
        RelayedProbe relayed = relayedProbes.remove(number);
        if (relayed != null) {
            out.send(
                    relayed.requester(),
                    List.of(new BodyWriter().u16(relayed.number()).item(Envelope.ACK)));
            return;
        }
        Probe probe = probes.get(number);
        if (probe == null) {
            return;
        }
        if (from == probe.target.number) {
            probes.remove(number);
            healthScore = Math.max(0, healthScore - 1);
        } else if (probe.indirect && member(from).distrustedUntil < now) {
            probes.remove(number); // a relay reached it: it is present, though its answer did not arrive here
            healthScore = Math.max(0, healthScore - 1);
            if (probe.target.state == State.SUSPECT) {
                setState(now, probe.target, State.ALIVE);
            }
        }
    }

    /** Handles a member's state sent by another broker or by the member itself. */
    private void applyUpdate(long now, int from, int number, int stateNumber, long updatedIncarnation) {
        State[] states = State.values();
        if (!scope.contains(number) || stateNumber >= states.length || member(from).distrustedUntil > now) {
            return;
        }
        if (updatedIncarnation > GossipNode.latestIncarnation(now)) {
            return; // a member that adopted it would not be admitted by any broker any more
        }
        State state = states[stateNumber];
        Member member = member(number);
        if (number == me) {
            refute(state, updatedIncarnation);
        } else if (updatedIncarnation >= member.incarnation) {
            applyUpdate(now, from, member, state, updatedIncarnation);
        }
    }

    private void applyUpdate(long now, int from, Member member, State state, long updatedIncarnation) {
        boolean later = updatedIncarnation > member.incarnation;
        if (state == State.ALIVE && (later || member.state == State.UNKNOWN)) {
            member.incarnation = updatedIncarnation;
            if (member.state == State.SUSPECT || member.state == State.UNKNOWN) {
                setState(now, member, State.ALIVE);
            }
        } else if (state == State.LEFT && from == member.number) {
            setState(now, member, State.LEFT);
        } else if (isNegative(state) && member.isPresent() && now - member.lastReceivedAt > basePeriod) {
            // Whatever others report, the member has the time of a suspicion to answer.
            suspect(now, member, from);
        }
    }

    private static boolean isNegative(State state) {
        return state == State.SUSPECT || state == State.DEAD || state == State.LEFT;
    }

    /** Refutes another broker's report about this one by a higher incarnation. */
    private void refute(State state, long updatedIncarnation) {
        if (isNegative(state) && updatedIncarnation >= incarnation && !leaving) {
            incarnation = updatedIncarnation + 1;
            member(me).incarnation = incarnation;
            member(me).timesSent = 0;
            refutations++;
            healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
        }
    }

    private void suspect(long now, Member member, int accuser) {
        member.accusers.add(accuser);
        if (member.state == State.ALIVE) {
            setState(now, member, State.SUSPECT);
        }
    }

    private void setState(long now, Member member, State state) {
        if (member.state == state) {
            return;
        }
        member.state = state;
        member.stateSince = now;
        member.timesSent = 0;
        if (state != State.SUSPECT) {
            member.accusers.clear();
        }
    }

    /** A relay was caught forging: it is not trusted about other members for {@link #DISTRUST_TIME_US}. */
    void distrust(long now, int number) {
        member(number).distrustedUntil = now + DISTRUST_TIME_US;
    }

    // ---- Gossip.

    private Item memberItem(Member member) {
        return new BodyWriter()
                .u16(member.number)
                .u8(member.state.ordinal())
                .u48(member.incarnation)
                .item(Envelope.MEMBER);
    }

    /** Changes of state to gossip, those sent the fewest times first, in up to that many bytes; counts them as sent. */
    List<Item> gossip(int bytes) {
        int maxTimes = gossipTimes();
        List<Member> due = new ArrayList<>();
        for (Member member : members) {
            if (member.timesSent < maxTimes && member.state != State.UNKNOWN) {
                due.add(member);
            }
        }
        due.sort(Comparator.comparingInt(member -> member.timesSent));
        List<Item> out = new ArrayList<>();
        for (Member member : due) {
            if ((out.size() + 1) * UPDATE_BYTES > bytes) {
                break;
            }
            member.timesSent++;
            out.add(memberItem(member));
        }
        return out;
    }

    /**
     * How many times a change is gossiped: three times the logarithm of the tier's size reaches all members with near
     * certainty.
     */
    int gossipTimes() {
        return (int) Math.ceil(3 * Math.log(members.length + 1) / Math.log(2));
    }

    /** Starts a graceful shutdown: announced to some members at once, and gossiped by them. */
    void leave(long now, ItemSender out) {
        leaving = true;
        member(me).state = State.LEFT;
        for (int to : randomPresent(2 * INDIRECT_PROBES, me)) {
            out.send(to, List.of(memberItem(member(me))));
        }
    }
}
