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
 * One broker's part in the distribution of the configuration. Calls come from one thread, with a time that never goes
 * back.
 *
 * <p>The gossip carries {@link #announcement()} in every datagram and passes the announcements that it receives to
 * {@link #receiveAnnouncement}; bodies sent to the {@link Outbox} travel in datagrams of their own and arrive at {@link
 * #receive}. Both may be lost, duplicated, delayed or forged.
 */
public final class RolloutNode {
    /** Maximum length of a body. */
    public static final int MAX_BODY_BYTES = 240;
    /** Maximum length of an announcement. */
    public static final int MAX_ANNOUNCEMENT_BYTES = 24;
    /** Maximum time between two calls of {@link #tick}, in microseconds. */
    static final long MAX_TICK_GAP_US = 500_000;
    /** Requests from one broker that are answered per second. */
    static final double REQUESTS_PER_SECOND_PER_BROKER = 20;

    /** Requests from one broker that are answered at once. */
    static final double REQUEST_BURST_PER_BROKER = 40;
    /** Requests from all brokers together that are answered per second. */
    static final double REQUESTS_PER_SECOND = 400;

    /** Requests from all brokers together that are answered at once. */
    static final double REQUEST_BURST = 600;
    /**
     * Maximum number of brokers whose request rates are tracked; the one tracked for the longest time is evicted first.
     */
    static final int MAX_TRACKED_BROKERS = 256;

    private final RolloutSettings settings;
    private final Outbox outbox;
    private final RolloutCounts counts = new RolloutCounts();
    private final SourceTable sources = new SourceTable();
    private final Learner learner;
    private final Voter voter; // null: this broker is no voter
    private final Proposer proposer;
    private final ChunkServer server;
    private final TokenBucket totalRequestBucket;
    private final BoundedMap<Integer, TokenBucket> requestBuckets = new BoundedMap<>(MAX_TRACKED_BROKERS);
    private final ArrayDeque<RolloutMessage> selfMessages = new ArrayDeque<>();
    private byte[] announcement;

    /** Starts from what the storage holds, and applies the stored configuration if this program can use it. */
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
        proposer = new Proposer(context, voter, learner::proposalChosen);
        server = new ChunkServer(context, now, this::contents);
        totalRequestBucket = new TokenBucket(now, REQUESTS_PER_SECOND, REQUEST_BURST);
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

    /** Does what is due; calls that come early do no harm. */
    public void tick(long now) {
        learner.tick(now);
        if (voter != null) {
            voter.tick(now);
        }
        proposer.tick(now);
        deliverSelfMessages(now);
    }

    /** When {@link #tick} has to be called at the latest, in microseconds. */
    public long nextTickAt(long now) {
        long due = Math.min(
                learner.nextTickAt(),
                Math.min(proposer.nextTickAt(), voter == null ? Long.MAX_VALUE : voter.nextTickAt()));
        return Math.max(now, Math.min(now + MAX_TICK_GAP_US, due));
    }

    /** Proposes a configuration; the listener receives a {@link RolloutEvent.ProposalEnded}. */
    public void propose(long now, Configuration configuration) {
        proposer.propose(now, configuration);
        deliverSelfMessages(now);
    }

    // ---- Receiving.

    /** Handles a body from another broker. Never throws, whatever the body contains. */
    public void receive(long now, int from, byte[] body) {
        counts.received++;
        counts.receivedBytes += body.length;
        if (from < 0 || from >= settings.members() || from == settings.me()) {
            counts.malformed++;
            return;
        }
        try {
            RolloutMessage message = RolloutCodec.read(body);
            if (isAllowed(now, from, message)) {
                handle(now, from, message);
            } else {
                counts.overAllowance++;
            }
        } catch (MalformedException e) {
            counts.malformed++;
        } catch (PassedOverException e) {
            counts.passedOver++;
        }
        deliverSelfMessages(now);
    }

    /** Whether the rates allow a message. Requests cost an answer; answers that were not asked for cost nothing. */
    private boolean isAllowed(long now, int from, RolloutMessage message) {
        if (message instanceof Report || message instanceof Chunk || message instanceof Unavailable) {
            return true;
        }
        TokenBucket own = requestBuckets.computeIfAbsent(
                from, broker -> new TokenBucket(now, REQUESTS_PER_SECOND_PER_BROKER, REQUEST_BURST_PER_BROKER));
        return own.tryTake(now, 1) && totalRequestBucket.tryTake(now, 1);
    }

    private void handle(long now, int from, RolloutMessage message) {
        if (message instanceof ReportRequest m && voter != null) {
            voter.reportRequested(now, from, m);
        } else if (message instanceof Proposal m && voter != null) {
            voter.proposalReceived(now, from, m);
        } else if (message instanceof Report m) {
            handleReport(now, from, m);
        } else if (message instanceof ChunkRequest m) {
            server.serve(now, from, m);
        } else if (message instanceof Chunk m) {
            learner.chunkReceived(now, from, m);
            if (voter != null) {
                voter.chunkReceived(now, from, m);
            }
        } else if (message instanceof Unavailable m) {
            learner.unavailableReceived(now, from, m);
            if (voter != null) {
                voter.unavailableReceived(now, from, m);
            }
        }
    }

    private void handleReport(long now, int from, Report report) {
        boolean taken = learner.reportReceived(now, from, report)
                || proposer.reportReceived(now, from, report)
                || voter != null && voter.reportReceived(now, from, report);
        if (taken && voter != null) {
            voter.contents().forEach(c -> learner.offer(now, c));
        }
    }

    /** Handles an announcement that came with another broker's datagram. Never throws, whatever it contains. */
    public void receiveAnnouncement(long now, int from, byte[] body) {
        if (from < 0 || from >= settings.members() || from == settings.me()) {
            counts.malformed++;
            return;
        }
        try {
            learner.announcementReceived(now, from, RolloutCodec.readAnnouncement(body));
        } catch (MalformedException e) {
            counts.malformed++;
        } catch (PassedOverException e) {
            counts.passedOver++;
        }
    }

    // ---- Sending.

    private void send(long now, int to, RolloutMessage message) {
        if (to == settings.me()) {
            selfMessages.add(message);
            return;
        }
        byte[] body = RolloutCodec.write(message);
        counts.sent++;
        counts.sentBytes += body.length;
        outbox.send(to, body);
    }

    /** Delivers the messages that this broker sent to itself, and updates its announcement. */
    private void deliverSelfMessages(long now) {
        for (RolloutMessage next = selfMessages.poll(); next != null; next = selfMessages.poll()) {
            handle(now, settings.me(), next);
        }
        announcement = RolloutCodec.write(learner.announcement());
    }

    /** What every gossip datagram carries: at most {@link #MAX_ANNOUNCEMENT_BYTES} bytes, never empty. */
    public byte[] announcement() {
        return announcement;
    }

    // ---- Status.

    /** The configuration in force, the phase of the voter, and how many other brokers are up to date. */
    public RolloutStatus status(long now) {
        return new RolloutStatus(
                learner.inForceId(),
                learner.refusedId(),
                voter == null ? null : voter.phase(),
                sources.count(now),
                sources.countBelow(now, learner.version()));
    }

    /** Counts since the start; they go on changing. */
    public RolloutCounts counts() {
        return counts;
    }
}
