package dockshed.rollout;

import dockshed.rollout.RolloutMessage.Chunk;
import dockshed.rollout.RolloutMessage.Proposal;
import dockshed.rollout.RolloutMessage.Report;
import dockshed.rollout.RolloutMessage.ReportRequest;
import dockshed.rollout.RolloutMessage.Unavailable;
import dockshed.rollout.VoteStorage.StorageException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A voter: votes for at most one content of a version, and only for versions above all that it voted for. A content is
 * <em>chosen</em> once a majority of the voters have voted for it.
 *
 * <p>Why no two contents of one version are ever counted as chosen:
 * <ol>
 * <li>A voter answers with a vote only once its record of it is durable, and its record allows one vote a version: {@link
 * #vote} refuses every version up to the highest one it voted for.
 * <li>The voters are the same at every broker, so two majorities have a voter in common. As long as no voter forgets, that
 * voter voted for both contents, which 1 excludes.
 * <li>A voter whose record is missing or unusable does not know its votes. It abstains ({@link VoterPhase#RECOVERING}) for
 * the longest time for which an answer counts ({@link VoterRound#DURATION_US}, lengthened by {@link VoterRound#MAX_CLOCK_DRIFT}). Whoever
 * counts answers counts them from when it asked, which is before they were given; so after that time no count that is
 * still going on holds a vote that was forgotten.
 * <li>Only then it asks the other voters, and begins to vote once a majority of these others, none of them recovering, have
 * told it the highest version they voted for. A content that was chosen with a forgotten vote has the votes of a majority
 * less one, all given by then (3). Of n voters that is (n-1)/2 of the n-1 others; a majority of the others is (n-1)/2+1;
 * together more than n-1, so one of those asked is among them, and the recovering voter votes only above that version.
 * <li>One that answered such a question and recovered before had the same said to it, so what it reports is no lower:
 * {@code floor} in its record.
 * <li>The rule in 4 would keep all waiting for ever at the first start, when nobody has a record. A voter to which all
 * others have answered within one round, none with a record, is {@link VoterPhase#READY}: there were no votes. It votes
 * once a majority, itself included, is ready or votes; from then on the others join by 4.
 * </ol>
 * What this rests on: fewer than a majority of the voters lose their records at a time (all at once is a first start), clocks'
 * rates differ by less than {@link VoterRound#MAX_CLOCK_DRIFT}, and voters run this program; the other brokers may say what they like.
 *
 * <p>A voter that reports a version as in force counts as one that voted for it: it has it only because it was chosen.
 */
final class Voter {
    /** How far above all that it knows a version may be: numbers are not to be used up by one broker's mistake. */
    static final long MAX_VERSIONS_AHEAD = 1024;
    /** A proposer that brought no content in that time is not fetched from for {@link #PROPOSER_PAUSE_US}. */
    static final long PROPOSER_PAUSE_US = 5_000_000;

    /** A record that cannot be saved is told of so often at most. */
    private static final long MIN_FAILURE_EVENT_GAP_US = 10_000_000;

    private static final long RECOVERY_WAIT_US = (long) (VoterRound.DURATION_US * (1 + 2 * VoterRound.MAX_CLOCK_DRIFT));

    /** What the learner at the same broker has in force; null: nothing. */
    interface InForceSource {
        ConfigurationId id();
    }

    private final NodeContext context;
    private final InForceSource inForceSource;
    private final long startedAt;
    private VoterPhase phase;
    private VoterRecord record = new VoterRecord(false, 0, List.of(), null);
    private VoterRound recovery;
    private Download download;
    private Configuration fetched; // for a vote that is not given yet
    private Configuration ownProposal; // proposed at this broker
    private ConfigurationId invalid; // a content that this program cannot use
    private int proposer = -1;
    private Proposal fetchingProposal; // that is being fetched
    private long nextFailureEventAt = Long.MIN_VALUE;
    private final BoundedMap<Integer, Long> pausedUntil = new BoundedMap<>(RolloutSettings.MAX_VOTERS);

    Voter(NodeContext context, long now, InForceSource inForce) {
        this.context = context;
        this.inForceSource = inForce;
        startedAt = now;
        String reason = load();
        if (reason != null) {
            phase = VoterPhase.RECOVERING;
            context.notifyListener(now, new RolloutEvent.VoterRecovering(reason));
        } else {
            phase = record.joined() ? VoterPhase.VOTING : VoterPhase.READY;
        }
    }

    /** Why the record is not to be had; null: it was read. */
    private String load() {
        try {
            Optional<VoterRecord> loaded = context.storage().loadVoter();
            loaded.ifPresent(r -> record = r);
            return loaded.isPresent() ? null : "no record of earlier votes";
        } catch (StorageException e) {
            return e.getMessage();
        }
    }

    VoterPhase phase() {
        return phase;
    }

    /** The contents that it can serve to others. */
    List<Configuration> contents() {
        List<Configuration> out = new ArrayList<>();
        if (record.content() != null) {
            out.add(record.content());
        }
        if (ownProposal != null) {
            out.add(ownProposal);
        }
        return out;
    }

    // ---- Time.

    long nextTickAt() {
        long due = recovery != null
                ? recovery.nextTickAt()
                : phase == VoterPhase.VOTING ? Long.MAX_VALUE : startedAt + RECOVERY_WAIT_US;
        return download == null ? due : Math.min(due, download.nextTickAt());
    }

    void tick(long now) {
        if (phase != VoterPhase.VOTING) {
            recover(now);
        }
        if (download != null) {
            download.tick(now);
            if (download.isTimedOut(now)) {
                pausedUntil.putLatest(proposer, now + PROPOSER_PAUSE_US);
                download = null;
            }
        }
    }

    // ---- Recovery.

    private void recover(long now) {
        if (now - startedAt < RECOVERY_WAIT_US) {
            return;
        }
        if (recovery == null || recovery.isOver(now)) {
            recovery = new VoterRound(
                    context.settings(),
                    context.random(),
                    now,
                    context.settings().voters().size(),
                    this::askVoter);
        }
        recovery.tick(now);
    }

    private void askVoter(long now, int voter, int round) {
        if (voter != context.settings().me()) {
            context.sender().send(now, voter, new ReportRequest(round, ConfigurationId.MAX_VERSION));
        }
    }

    /** Takes another voter's answer; false: it was not asked for here. */
    boolean reportReceived(long now, int from, Report report) {
        if (recovery == null || phase == VoterPhase.VOTING || !recovery.reportReceived(now, from, report)) {
            return false;
        }
        int others = context.settings().voters().size() - 1;
        long withRecord = recovery.reports().values().stream()
                .filter(r -> r.phase() != VoterPhase.RECOVERING)
                .count();
        boolean nobodyVotes = recovery.votingVoters() == 0;
        if (phase == VoterPhase.RECOVERING && withRecord >= others / 2 + 1) {
            join(now);
        } else if (phase == VoterPhase.RECOVERING
                && nobodyVotes
                && recovery.reports().size() == others) {
            becomeReady(now);
        } else if (phase == VoterPhase.READY
                && withRecord + 1 >= context.settings().majority()) {
            join(now);
        }
        return true;
    }

    private long reportedFloor() {
        return Math.max(highest(), recovery.highest());
    }

    private void becomeReady(long now) {
        if (save(now, new VoterRecord(false, reportedFloor(), List.of(), null))) {
            phase = VoterPhase.READY;
        }
    }

    private void join(long now) {
        if (save(now, new VoterRecord(true, reportedFloor(), List.of(), null))) {
            phase = VoterPhase.VOTING;
            recovery = null;
            context.notifyListener(now, new RolloutEvent.VoterReady(record.floor()));
        }
    }

    // ---- Votes.

    /** The version above which it votes. */
    private long highest() {
        long voted = record.votes().isEmpty() ? 0 : record.votes().get(0).version();
        long here = inForceSource.id() == null ? 0 : inForceSource.id().version();
        return Math.max(record.floor(), Math.max(voted, here));
    }

    void reportRequested(long now, int from, ReportRequest request) {
        sendReport(now, from, request.round(), request.above(), false);
    }

    private void sendReport(long now, int to, int round, long above, boolean refused) {
        List<ConfigurationId> known = new ArrayList<>(record.votes());
        ConfigurationId here = inForceSource.id();
        if (here != null && !known.contains(here)) {
            known.add(here);
        }
        known.removeIf(id -> id.version() <= above);
        known.sort((a, b) -> Long.compare(b.version(), a.version()));
        context.sender().send(now, to, new Report(round, phase, refused, highest(), known));
    }

    void proposalReceived(long now, int from, Proposal p) {
        if (!context.settings().isVoter(from)) {
            context.counts().passedOver++;
            return;
        }
        boolean open = phase == VoterPhase.VOTING
                && p.id().version() > highest()
                && p.id().version() <= highest() + MAX_VERSIONS_AHEAD;
        if (!open || p.id().equals(invalid)) {
            sendReport(now, from, p.round(), p.above(), open);
        } else if (contentOf(p.id()) != null) {
            vote(now, from, p);
        } else if (download != null && download.id().equals(p.id()) && from == proposer) {
            fetchingProposal = p; // a later round of the same
        } else if (from != context.settings().me() && mayFetch(now, from)) {
            fetch(now, from, p);
        }
    }

    /** One content is fetched at a time; a proposer that falls silent holds no other up. */
    private boolean mayFetch(long now, int from) {
        boolean free = download == null || download.isStalled(now);
        return free && pausedUntil.getOrDefault(from, Long.MIN_VALUE) <= now;
    }

    private void fetch(long now, int from, Proposal p) {
        proposer = from;
        fetchingProposal = p;
        download = new Download(context, now, p.id(), t -> List.of(from), (t, bad) -> fetchFailed(t, from));
    }

    private void fetchFailed(long now, int from) {
        pausedUntil.putLatest(from, now + PROPOSER_PAUSE_US);
        download = null;
    }

    /** Takes a chunk of what it fetches; false: it is not for this part. */
    void chunkReceived(long now, int from, Chunk chunk) {
        Configuration whole = download == null ? null : download.chunkReceived(now, from, chunk);
        if (whole != null) {
            download = null;
            contentFetched(now, whole);
        }
    }

    void unavailableReceived(long now, int from, Unavailable message) {
        if (download != null) {
            download.unavailableReceived(now, from, message);
        }
    }

    /** The content of a proposal made at this broker. */
    void provide(Configuration configuration) {
        ownProposal = configuration;
    }

    /** The content of that identity, if it is here; else null. */
    private Configuration contentOf(ConfigurationId id) {
        if (ownProposal != null && ownProposal.id().equals(id)) {
            return ownProposal;
        }
        return fetched != null && fetched.id().equals(id) ? fetched : null;
    }

    private void contentFetched(long now, Configuration whole) {
        if (context.applier().validate(whole).isPresent()) {
            invalid = whole.id();
            sendReport(now, proposer, fetchingProposal.round(), fetchingProposal.above(), true);
            return;
        }
        fetched = whole;
        proposalReceived(now, proposer, fetchingProposal);
    }

    private void vote(long now, int from, Proposal p) {
        List<ConfigurationId> votes = new ArrayList<>(List.of(p.id()));
        votes.addAll(record.votes());
        List<ConfigurationId> latest = votes.subList(0, Math.min(votes.size(), VoterRecord.MAX_VOTES));
        if (save(now, new VoterRecord(true, p.id().version(), latest, contentOf(p.id())))) {
            fetched = null;
            sendReport(now, from, p.round(), p.above(), false);
        }
    }

    /** Makes a record durable and takes it; false: it is not, and nothing changed. */
    private boolean save(long now, VoterRecord next) {
        try {
            context.storage().saveVoter(next);
            record = next;
            return true;
        } catch (StorageException e) {
            if (now >= nextFailureEventAt) {
                nextFailureEventAt = now + MIN_FAILURE_EVENT_GAP_US;
                context.notifyListener(now, new RolloutEvent.StorageFailed(e.getMessage()));
            }
            return false;
        }
    }
}
