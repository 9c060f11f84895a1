package dockshed.fleet;

import dockshed.fleet.Envelope.Bodies;
import dockshed.fleet.Envelope.Item;
import dockshed.fleet.Member.State;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Who is there: SWIM's probing in turn, suspicion and incarnations, with Lifeguard's local health. A broker that is itself
 * slow gives the others more time, and one that stood still forgets what it was about to say of them.
 *
 * <p>Trust: another's word makes this broker suspect a member and no more. It calls it dead only once the member has
 * answered neither it nor anybody that told it so for the time of a suspicion, and a datagram of the member's own ends any
 * suspicion. So one broker that tells nonsense costs probes, never a member.
 */
final class Membership {
    /** Between two probes, and for an answer, in microseconds; each grows with the local health score. */
    static final long PERIOD = 500_000, ANSWER = 150_000;
    /** Those asked to probe for us; accusers that shorten a suspicion most. */
    static final int HELPERS = 3;
    /** The local health score at its worst: periods are five times as long then. */
    static final int WORST = 4;
    /** A suspicion lasts so many periods at least, times the logarithm of the tier's size; at most so many times that. */
    private static final double LEAST = 5, MOST = 4;
    /** Who was called dead is tried again now and then: a cut that has healed tells nobody. */
    static final long RETRY_DEAD = 3_000_000;
    /** Datagrams of one sender that are read: so many a second, so many at once. A sound one sends under ten. */
    static final double RATE = 40, BURST = 80;
    /** A relay caught making things up is not believed about others for so long. */
    static final long DISTRUST = 60_000_000;

    /** A probe that is out. */
    private static final class Probe {
        final Member of;
        final long sent;
        boolean helped;

        Probe(Member of, long sent) {
            this.of = of;
            this.sent = sent;
        }
    }

    /** A probe for somebody else: whom to answer, under which number. */
    private record Errand(int asker, int number, long until) {}

    /** What goes out: to whom, and the items that have to be in it. */
    interface Out {
        void send(int to, List<Item> items);
    }

    final int me;
    private final Member[] members;
    private final SplittableRandom random;
    private final List<Integer> turn = new ArrayList<>();
    private final Map<Integer, Probe> probes = new HashMap<>();
    private final Map<Integer, Errand> errands = new HashMap<>();
    private final long base; // microseconds of a period in good health
    private long incarnation, nextAt, deadAt;
    private int health, numbers;
    private boolean leaving, odd;
    int refutations, falseAlarms; // words on us contradicted; suspicions that a sign of life ended

    /** {@code stretch}: how many times longer its periods are, 1 or more, where little may be sent. */
    Membership(int me, int brokers, long incarnation, long now, double stretch, SplittableRandom random) {
        this.me = me;
        base = (long) (PERIOD * stretch);
        this.incarnation = incarnation;
        this.random = random;
        members = new Member[brokers];
        for (int i = 0; i < brokers; i++) {
            members[i] = new Member(i);
            members[i].tokensAt = now;
        }
        members[me].state = State.ALIVE;
        members[me].incarnation = incarnation;
        nextAt = now + random.nextLong(PERIOD / 4);
        deadAt = now + RETRY_DEAD;
    }

    Member member(int number) {
        return members[number];
    }

    long incarnation() {
        return incarnation;
    }

    /** Those that are there, itself included, in the order of their numbers. */
    List<Integer> living() {
        List<Integer> out = new ArrayList<>();
        for (Member m : members) {
            if (m.there()) {
                out.add(m.number);
            }
        }
        return out;
    }

    private long period() {
        return base * (1 + health);
    }

    private long suspicion(Member m) {
        double least = LEAST * base * Math.max(1, Math.log10(members.length + 1));
        double most = least * MOST;
        int c = Math.min(HELPERS, Math.max(0, m.accusers.size() - 1));
        return (long) Math.max(least, most - (most - least) * Math.log(c + 1) / Math.log(HELPERS + 1));
    }

    // ---- Time.

    long next() {
        return leaving ? Long.MAX_VALUE : probes.isEmpty() ? nextAt : Math.min(nextAt, nextLook());
    }

    private long nextLook() {
        long due = Long.MAX_VALUE;
        for (Probe p : probes.values()) {
            due = Math.min(due, p.sent + (p.helped ? period() : ANSWER * (1 + health)));
        }
        return due;
    }

    /** This process stood still: whatever was due meanwhile says nothing of the others. */
    void resumed(long now, long gap) {
        probes.clear();
        errands.clear();
        health = Math.min(WORST, health + 2);
        for (Member m : members) {
            m.since += m.state == State.SUSPECT ? gap : 0;
            m.heardAt += gap;
            m.tokensAt = now;
            m.tokens = BURST;
        }
        nextAt = now;
    }

    void tick(long now, Out out) {
        if (leaving) {
            return;
        }
        errands.values().removeIf(e -> e.until() < now);
        for (Map.Entry<Integer, Probe> e : List.copyOf(probes.entrySet())) {
            Probe p = e.getValue();
            if (!p.helped && now - p.sent >= ANSWER * (1 + health)) {
                p.helped = true;
                for (int helper : some(HELPERS, p.of.number)) {
                    out.send(
                            helper,
                            List.of(new Bodies()
                                    .u16(e.getKey())
                                    .u16(p.of.number)
                                    .item(Envelope.PING_FOR)));
                }
            }
            if (now - p.sent >= period()) {
                probes.remove(e.getKey());
                health = Math.min(WORST, health + 1);
                if (p.of.state == State.ALIVE) {
                    suspect(now, p.of, me);
                }
            }
        }
        for (Member m : members) {
            if (m.state == State.SUSPECT && now - m.since >= suspicion(m)) {
                become(now, m, State.DEAD);
            }
        }
        if (now >= nextAt) {
            nextAt = now + period();
            Member m = nextTarget(now);
            if (m != null) {
                ping(now, m, out);
            }
        }
    }

    private void ping(long now, Member m, Out out) {
        int number = numbers++ & 0xFFFF;
        if (m.state != State.DEAD && m.state != State.LEFT) {
            probes.put(number, new Probe(m, now));
        }
        List<Item> items = new ArrayList<>(List.of(new Bodies().u16(number).item(Envelope.PING)));
        if (m.state == State.SUSPECT || m.state == State.DEAD) {
            items.add(word(m)); // it can contradict only what it hears
        }
        out.send(m.number, items);
    }

    /** In turn through a shuffled list, so that each is probed once a round; now and then one that was called dead. */
    private Member nextTarget(long now) {
        odd = !odd;
        if (odd) { // a suspect is asked by each that suspects it: one answer clears it
            List<Member> suspects = new ArrayList<>();
            for (Member m : members) {
                if (m.state == State.SUSPECT) {
                    suspects.add(m);
                }
            }
            if (!suspects.isEmpty()) {
                return suspects.get(random.nextInt(suspects.size()));
            }
        }
        if (now >= deadAt) {
            deadAt = now + RETRY_DEAD;
            List<Integer> gone = new ArrayList<>();
            for (Member m : members) {
                if (m.state == State.DEAD || m.state == State.UNKNOWN) {
                    gone.add(m.number);
                }
            }
            if (!gone.isEmpty()) {
                return members[gone.get(random.nextInt(gone.size()))];
            }
        }
        for (int tries = 0; tries < 2; tries++) {
            while (!turn.isEmpty()) {
                Member m = members[turn.remove(turn.size() - 1)];
                if (m.there() && probes.values().stream().noneMatch(p -> p.of == m)) {
                    return m;
                }
            }
            for (Member m : members) {
                // Until somebody answers, every configured peer is a seed.
                if (m.number != me && (m.there() || m.state == State.UNKNOWN && alone())) {
                    turn.add(random.nextInt(turn.size() + 1), m.number);
                }
            }
            if (!turn.isEmpty() && alone()) {
                return members[turn.remove(turn.size() - 1)];
            }
        }
        return null;
    }

    boolean alone() {
        for (Member m : members) {
            if (m.number != me && m.there()) {
                return false;
            }
        }
        return true;
    }

    /** Others that are there, at random. */
    List<Integer> some(int count, int but) {
        List<Integer> all = new ArrayList<>();
        for (Member m : members) {
            if (m.number != me && m.number != but && m.there()) {
                all.add(random.nextInt(all.size() + 1), m.number);
            }
        }
        return all.subList(0, Math.min(count, all.size()));
    }

    // ---- What comes.

    /** Whether a datagram of that sender is read: known, not too many of them, of its latest life and in order. */
    boolean admits(long now, Envelope e, long latestIncarnation) {
        if (e.sender() >= members.length || e.sender() == me || e.incarnation() > latestIncarnation) {
            return false;
        }
        Member m = members[e.sender()];
        m.tokens = Math.min(BURST, m.tokens + (now - m.tokensAt) * RATE / 1e6);
        m.tokensAt = now;
        if (m.tokens < 1) {
            return false;
        }
        m.tokens--;
        if (e.incarnation() < m.incarnation) {
            return false; // of an earlier life, or of one that has still to hear what was said of it
        }
        if (e.incarnation() == m.incarnation && m.heard) {
            int behind = m.serial - e.serial();
            return behind < 0 || behind < 64 && (m.window >> behind & 1) == 0; // else told before, or too late to tell
        }
        return true;
    }

    /** Whether a datagram's sender does not know yet under which incarnation it is spoken of. */
    boolean behind(Envelope e) {
        return e.sender() < members.length && e.sender() != me && e.incarnation() < members[e.sender()].incarnation;
    }

    /** What is held of a member, so that it can contradict it. */
    Item wordOn(int number) {
        return word(members[number]);
    }

    /** A datagram of its own came: whatever else is said, it is there. True where it was not before, or in another life. */
    boolean heard(long now, Envelope e) {
        Member m = members[e.sender()];
        boolean later = e.incarnation() > m.incarnation;
        m.incarnation = e.incarnation();
        int ahead = e.serial() - m.serial;
        if (later || !m.heard || ahead >= 64) {
            m.window = 1;
            m.serial = e.serial();
        } else if (ahead > 0) {
            m.window = m.window << ahead | 1;
            m.serial = e.serial();
        } else {
            m.window |= 1L << -ahead;
        }
        boolean news = later || !m.heard || !m.there();
        m.heard = true;
        m.heardAt = now;
        if (m.state == State.LEFT && !later) {
            return false;
        }
        falseAlarms += m.state == State.SUSPECT ? 1 : 0;
        if (m.state != State.ALIVE) {
            become(now, m, State.ALIVE);
        }
        m.accusers.clear();
        return news;
    }

    void item(long now, int from, Item item, Out out) {
        ByteBuffer b = item.read();
        switch (item.kind()) {
            case Envelope.PING -> {
                if (b.remaining() >= 2) {
                    out.send(from, List.of(new Bodies().u16(b.getShort()).item(Envelope.ACK)));
                }
            }
            case Envelope.ACK -> {
                if (b.remaining() >= 2) {
                    acked(now, from, b.getShort() & 0xFFFF, out);
                }
            }
            case Envelope.PING_FOR -> {
                if (b.remaining() >= 4) {
                    int number = b.getShort() & 0xFFFF;
                    int target = b.getShort() & 0xFFFF;
                    if (target < members.length && target != me && errands.size() < 4 * HELPERS) {
                        int own = numbers++ & 0xFFFF;
                        errands.put(own, new Errand(from, number, now + period()));
                        out.send(target, List.of(new Bodies().u16(own).item(Envelope.PING)));
                    }
                }
            }
            case Envelope.MEMBER -> {
                if (b.remaining() >= 9) {
                    told(now, from, b.getShort() & 0xFFFF, b.get() & 0xFF, Envelope.getLong6(b));
                }
            }
            default -> {}
        }
    }

    private void acked(long now, int from, int number, Out out) {
        Errand e = errands.get(number);
        if (e != null) {
            errands.remove(number);
            out.send(e.asker(), List.of(new Bodies().u16(e.number()).item(Envelope.ACK)));
            return;
        }
        Probe p = probes.get(number);
        if (p == null) {
            return;
        }
        if (from == p.of.number) {
            probes.remove(number);
            health = Math.max(0, health - 1);
        } else if (p.helped && members[from].distrustedUntil < now) {
            probes.remove(number); // a helper reached it: there, though not heard here
            health = Math.max(0, health - 1);
            if (p.of.state == State.SUSPECT) {
                become(now, p.of, State.ALIVE);
            }
        }
    }

    /** A word on a member, from somebody else or from itself. */
    private void told(long now, int from, int number, int state, long inc) {
        if (number >= members.length || state >= State.values().length || members[from].distrustedUntil > now) {
            return;
        }
        State s = State.values()[state];
        Member m = members[number];
        if (number == me) {
            if ((s == State.SUSPECT || s == State.DEAD || s == State.LEFT) && inc >= incarnation && !leaving) {
                incarnation = inc + 1;
                members[me].incarnation = incarnation;
                members[me].sends = 0;
                refutations++;
                health = Math.min(WORST, health + 1);
            }
            return;
        }
        if (inc < m.incarnation) {
            return;
        }
        boolean own = from == number;
        if (s == State.ALIVE && (inc > m.incarnation || m.state == State.UNKNOWN)) {
            m.incarnation = inc;
            if (m.state == State.SUSPECT || m.state == State.UNKNOWN) {
                become(now, m, State.ALIVE);
            }
        } else if (s == State.LEFT && own) {
            become(now, m, State.LEFT);
        } else if ((s == State.SUSPECT || s == State.DEAD || s == State.LEFT) && m.there() && now - m.heardAt > base) {
            // Whatever others say of it, it has the time of a suspicion to answer for itself.
            suspect(now, m, from);
        }
    }

    private void suspect(long now, Member m, int by) {
        m.accusers.add(by);
        if (m.state == State.ALIVE) {
            become(now, m, State.SUSPECT);
        }
    }

    private void become(long now, Member m, State s) {
        if (m.state == s) {
            return;
        }
        m.state = s;
        m.since = now;
        m.sends = 0;
        if (s != State.SUSPECT) {
            m.accusers.clear();
        }
    }

    void distrust(long now, int number) {
        members[number].distrustedUntil = now + DISTRUST;
    }

    // ---- What is passed on.

    private Item word(Member m) {
        return new Bodies()
                .u16(m.number)
                .u8(m.state.ordinal())
                .u48(m.incarnation)
                .item(Envelope.MEMBER);
    }

    /** Changes to be passed on, those sent least first, in up to so many bytes. */
    List<Item> gossip(int bytes) {
        int times = times();
        List<Member> due = new ArrayList<>();
        for (Member m : members) {
            if (m.sends < times && m.state != State.UNKNOWN) {
                due.add(m);
            }
        }
        due.sort(Comparator.comparingInt(m -> m.sends));
        List<Item> out = new ArrayList<>();
        for (Member m : due) {
            if ((out.size() + 1) * 11 > bytes) {
                break;
            }
            m.sends++;
            out.add(word(m));
        }
        return out;
    }

    /** How often a piece of news is passed on: three times the logarithm of the tier's size reaches all with near certainty. */
    int times() {
        return (int) Math.ceil(3 * Math.log(members.length + 1) / Math.log(2));
    }

    /** The planned end: told to some at once, and passed on by them. */
    void leave(long now, Out out) {
        leaving = true;
        members[me].state = State.LEFT;
        for (int to : some(2 * HELPERS, me)) {
            out.send(to, List.of(word(members[me])));
        }
    }
}
