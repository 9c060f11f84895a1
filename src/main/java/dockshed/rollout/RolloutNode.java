package dockshed.rollout;

import dockshed.rollout.RolloutCodec.MalformedException;
import dockshed.rollout.RolloutCodec.PassedOverException;
import dockshed.rollout.RolloutMessage.Chunk;
import dockshed.rollout.RolloutMessage.ChunkRequest;
import dockshed.rollout.RolloutMessage.Proposal;
import dockshed.rollout.RolloutMessage.Report;
import dockshed.rollout.RolloutMessage.ReportRequest;
import dockshed.rollout.RolloutMessage.Unavailable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One broker's part in the spread of configuration. Calls come from one thread, with a time that never goes back.
 *
 * <p>The gossip carries {@link #announcement()} in every datagram and hands what it receives to {@link
 * #heardAnnouncement}; bodies of {@link Outbox} travel in datagrams of their own and arrive at {@link #receive}. Both may
 * be lost, repeated, late or made up.
 */
public final class RolloutNode {
    /** Bytes of a body at most. */
    public static final int MOST_BODY = 240;
    /** Bytes of an announcement at most. */
    public static final int MOST_ANNOUNCEMENT = 24;
    /** Between two calls of {@link #tick} at most, in microseconds. */
    static final long LOOK = 500_000;
    /** Questions of one broker that are answered: so many a second, so many at once. */
    static final double QUESTIONS = 20;

    static final double QUESTIONS_BURST = 40;
    /** Questions that are answered in all, a second and at once. */
    static final double ALL_QUESTIONS = 400;

    static final double ALL_QUESTIONS_BURST = 600;
    /** Brokers whose questions are counted, those that asked last. */
    static final int MOST_ASKERS = 256;

    private final RolloutSettings settings;
    private final Outbox outbox;
    private final RolloutCounts counts = new RolloutCounts();
    private final SourceTable sources = new SourceTable();
    private final Learner learner;
    private final Voter voter; // null: this broker is none
    private final Proposer proposer;
    private final ChunkServer server;
    private final Allowance allQuestions;
    private final BoundedMap<Integer, Allowance> questions = new BoundedMap<>(MOST_ASKERS);
    private final ArrayDeque<RolloutMessage> toMyself = new ArrayDeque<>();
    private byte[] announcement;

    /** Begins with what the storage holds; puts the configuration in force that it held, if this program can use it. */
    public RolloutNode(
            RolloutSettings settings,
            long now,
            SplittableRandom random,
            Outbox outbox,
            VoteStorage storage,
            ConfigurationApplier applier,
            RolloutListener listener) {
        this.settings = settings;
        this.outbox = outbox;
        NodeContext context = new NodeContext(settings, random, this::send, storage, applier, listener, counts);
        learner = new Learner(context, sources, now);
        voter = settings.isVoter(settings.me()) ? new Voter(context, now, learner::inForceId) : null;
        proposer = new Proposer(context, voter, learner::chosen);
        server = new ChunkServer(context, now, this::contents);
        allQuestions = new Allowance(now, ALL_QUESTIONS, ALL_QUESTIONS_BURST);
        announcement = RolloutCodec.write(learner.announcement());
    }

    private List<Configuration> contents() {
        List<Configuration> out = new ArrayList<>(learner.contents());
        if (voter != null) {
            out.addAll(voter.contents());
        }
        return out;
    }

    // ---- Time.

    /** Does what is due; may be called early. */
    public void tick(long now) {
        learner.tick(now);
        if (voter != null) {
            voter.tick(now);
        }
        proposer.tick(now);
        settle(now);
    }

    /** When {@link #tick} is to be called at the latest. */
    public long next(long now) {
        long due = Math.min(learner.next(), Math.min(proposer.next(), voter == null ? Long.MAX_VALUE : voter.next()));
        return Math.max(now, Math.min(now + LOOK, due));
    }

    /** Proposes a configuration; the listener hears how it ends. */
    public void propose(long now, Configuration configuration) {
        proposer.propose(now, configuration);
        settle(now);
    }

    // ---- What comes.

    /** Takes a body that another broker sent. Never throws, whatever it holds. */
    public void receive(long now, int from, byte[] body) {
        counts.received++;
        counts.receivedBytes += body.length;
        if (from < 0 || from >= settings.members() || from == settings.me()) {
            counts.malformed++;
            return;
        }
        try {
            RolloutMessage message = RolloutCodec.read(body);
            if (allowed(now, from, message)) {
                take(now, from, message);
            } else {
                counts.overAllowance++;
            }
        } catch (MalformedException e) {
            counts.malformed++;
        } catch (PassedOverException e) {
            counts.passedOver++;
        }
        settle(now);
    }

    /** Questions cost an answer; answers that nobody asked for cost nothing. */
    private boolean allowed(long now, int from, RolloutMessage message) {
        if (message instanceof Report || message instanceof Chunk || message instanceof Unavailable) {
            return true;
        }
        Allowance own = questions.computeIfAbsent(from, b -> new Allowance(now, QUESTIONS, QUESTIONS_BURST));
        return own.take(now, 1) && allQuestions.take(now, 1);
    }

    private void take(long now, int from, RolloutMessage message) {
        if (message instanceof ReportRequest m && voter != null) {
            voter.reportRequested(now, from, m);
        } else if (message instanceof Proposal m && voter != null) {
            voter.proposed(now, from, m);
        } else if (message instanceof Report m) {
            answered(now, from, m);
        } else if (message instanceof ChunkRequest m) {
            server.serve(now, from, m);
        } else if (message instanceof Chunk m) {
            learner.chunk(now, from, m);
            if (voter != null) {
                voter.chunk(now, from, m);
            }
        } else if (message instanceof Unavailable m) {
            learner.unavailable(now, from, m);
            if (voter != null) {
                voter.unavailable(now, from, m);
            }
        }
    }

    private void answered(long now, int from, Report report) {
        boolean taken = learner.answered(now, from, report)
                || proposer.answered(now, from, report)
                || voter != null && voter.answered(now, from, report);
        if (taken && voter != null) {
            voter.contents().forEach(c -> learner.offer(now, c));
        }
    }

    /** Takes an announcement that came with another broker's datagram. Never throws, whatever it holds. */
    public void heardAnnouncement(long now, int from, byte[] body) {
        if (from < 0 || from >= settings.members() || from == settings.me()) {
            counts.malformed++;
            return;
        }
        try {
            learner.heard(now, from, RolloutCodec.readAnnouncement(body));
        } catch (MalformedException e) {
            counts.malformed++;
        } catch (PassedOverException e) {
            counts.passedOver++;
        }
    }

    // ---- What goes out.

    private void send(long now, int to, RolloutMessage message) {
        if (to == settings.me()) {
            toMyself.add(message);
            return;
        }
        byte[] body = RolloutCodec.write(message);
        counts.sent++;
        counts.sentBytes += body.length;
        outbox.send(to, body);
    }

    /** Delivers what this broker said to itself, and renews what it announces. */
    private void settle(long now) {
        for (RolloutMessage next = toMyself.poll(); next != null; next = toMyself.poll()) {
            take(now, settings.me(), next);
        }
        announcement = RolloutCodec.write(learner.announcement());
    }

    /** What every datagram of the gossip carries: at most {@link #MOST_ANNOUNCEMENT} bytes; never empty. */
    public byte[] announcement() {
        return announcement;
    }

    // ---- What is read.

    public RolloutStatus status(long now) {
        return new RolloutStatus(
                learner.inForceId(),
                learner.refusedId(),
                voter == null ? null : voter.phase(),
                sources.count(now),
                sources.countBelow(now, learner.version()));
    }

    public RolloutCounts counts() {
        return counts;
    }
}
