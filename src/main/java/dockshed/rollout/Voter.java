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
 * A voter: votes for at most one content of a version, and only for versions above all those it voted for. A content is
 * <em>chosen</em> once a majority of the voters have voted for it.
 *
 * <p>Why two contents of one version are never both counted as chosen:
 * <ol>
 * <li>A voter answers with a vote only once its record of the vote is durable, and its record allows one vote per
 * version: {@link #proposalReceived} refuses every version up to the highest one it voted for.
 * <li>The voters are the same at every broker, so any two majorities have a voter in common. As long as no voter
 * forgets its votes, that voter would have voted for both contents, which 1 excludes.
 * <li>A voter whose record is missing or unusable does not know its votes. It abstains ({@link VoterPhase#RECOVERING})
 * for the longest time for which an answer counts ({@link VoterRound#DURATION_US}, lengthened by {@link
 * VoterRound#MAX_CLOCK_DRIFT}). Whoever counts answers counts that time from the request, which is sent before any
 * answer is given; so afterwards no count still in progress includes a forgotten vote.
 * <li>Only then does it ask the other voters, and it begins to vote once a majority of these others, none of them
 * recovering, have reported the highest version they voted for. A content that was chosen with a forgotten vote has the
 * votes of a majority less one, all given by then (3). Of n voters that is (n-1)/2 of the n-1 others; a majority of the
 * others is (n-1)/2+1; together that is more than n-1, so at least one voter that reported is among them, and the
 * recovering voter votes only above that version.
 * <li>A voter that reported and had itself recovered earlier had received the same answers, so the version it reports
 * is no lower: {@code floor} in its record.
 * <li>At the very first start, when no voter has a record, the rule in 4 would make all of them wait for ever. A voter
 * that has answers from all others within one round, none with a record, becomes {@link VoterPhase#READY}: there were
 * no votes. It begins to vote once a majority, itself included, is ready or votes; from then on the others join by 4.
 * </ol>
 *
 * <p>Assumptions: fewer than a majority of the voters lose their records at the same time (if all do, it is a first
 * start), the rates of the clocks differ by less than {@link VoterRound#MAX_CLOCK_DRIFT}, and the voters run this
 * program; all other brokers may send anything.
 *
 * <p>A voter that reports a version as in force counts as having voted for it: it has that version only because it was
 * chosen.
 */
final class Voter {
    /**
     * How far a proposed version may be above the highest one known here: one broker's mistake must not use up the
     * numbers.
     */
    static final long MAX_VERSIONS_AHEAD = 1024;
    /** Time in microseconds for which nothing is downloaded from a proposer that did not deliver its content. */
    static final long PROPOSER_PAUSE_US = 5_000_000;

    /** Minimum time between two events about a record that cannot be saved, in microseconds. */
    private static final long MIN_FAILURE_EVENT_GAP_US = 10_000_000;

    /**
     * Time for which a voter without its record abstains before it asks the others, in microseconds: see 3 in the class
     * comment.
     */
    private static final long RECOVERY_WAIT_US = (long) (VoterRound.DURATION_US * (1 + 2 * VoterRound.MAX_CLOCK_DRIFT));

    /** Reads which configuration the learner at the same broker has in force; null: none. */
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
    private Configuration fetched; // for a vote that has not been given yet
    private Configuration ownProposal; // proposed at this broker
    private ConfigurationId invalid; // the latest content that this program cannot use
    private int proposer = -1;
    private Proposal fetchingProposal; // whose content is being downloaded
    private long nextFailureEventAt = Long.MIN_VALUE;
    private final BoundedMap<Integer, Long> pausedUntil = new BoundedMap<>(RolloutSettings.MAX_VOTERS);

    /** Starts with the stored record, or recovers if there is none that can be used. */
    Voter(NodeContext context, long now, InForceSource inForceSource) {
        this.context = context;
        this.inForceSource = inForceSource;
        startedAt = now;
        String reason = load();
        if (reason != null) {
            phase = VoterPhase.RECOVERING;
            context.notifyListener(now, new RolloutEvent.VoterRecovering(reason));
        } else {
            phase = record.joined() ? VoterPhase.VOTING : VoterPhase.READY;
        }
    }

    /** Reads the record; returns why it is not available, or null if it was read. */
    private String load() {
        try {
            Optional<VoterRecord> loaded = context.storage().loadVoter();
            loaded.ifPresent(read -> record = read);
            return loaded.isPresent() ? null : "no record of earlier votes";
        } catch (StorageException e) {
            return e.getMessage();
        }
    }

    VoterPhase phase() {
        return phase;
    }

    /** The contents that this voter can serve to other brokers. */
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

    /** When {@link #tick} is due. */
    long nextTickAt() {
        long due = recovery != null
                ? recovery.nextTickAt()
                : phase == VoterPhase.VOTING ? Long.MAX_VALUE : startedAt + RECOVERY_WAIT_US;
        return download == null ? due : Math.min(due, download.nextTickAt());
    }

    /** Goes on with a recovery and a download. */
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

    /** Handles another voter's answer; false if this recovery did not ask for it. */
    boolean reportReceived(long now, int from, Report report) {
        if (recovery == null || phase == VoterPhase.VOTING || !recovery.reportReceived(now, from, report)) {
            return false;
        }
        int others = context.settings().voters().size() - 1;
        long withRecord = recovery.reports().values().stream()
                .filter(received -> received.phase() != VoterPhase.RECOVERING)
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

    /** The highest version that this voter or any voter that answered knows of. */
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

    /** Answers what this voter voted for and has in force. */
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

    /**
     * Votes for a proposal of another voter or of this broker, after downloading its content if necessary, or reports
     * why not.
     */
    void proposalReceived(long now, int from, Proposal proposal) {
        if (!context.settings().isVoter(from)) {
            context.counts().passedOver++;
            return;
        }
        boolean open = phase == VoterPhase.VOTING
                && proposal.id().version() > highest()
                && proposal.id().version() <= highest() + MAX_VERSIONS_AHEAD;
        if (!open || proposal.id().equals(invalid)) {
            sendReport(now, from, proposal.round(), proposal.above(), open);
        } else if (contentOf(proposal.id()) != null) {
            vote(now, from, proposal);
        } else if (download != null && download.id().equals(proposal.id()) && from == proposer) {
            fetchingProposal = proposal; // a later round of the same proposal
        } else if (from != context.settings().me() && mayFetch(now, from)) {
            fetch(now, from, proposal);
        }
    }

    /**
     * Whether a download may start now: there is one at a time, and a proposer that does not answer must not delay the
     * others.
     */
    private boolean mayFetch(long now, int from) {
        boolean free = download == null || download.isStalled(now);
        return free && pausedUntil.getOrDefault(from, Long.MIN_VALUE) <= now;
    }

    private void fetch(long now, int from, Proposal proposal) {
        proposer = from;
        fetchingProposal = proposal;
        download = new Download(context, now, proposal.id(), at -> List.of(from), (at, bad) -> fetchFailed(at, from));
    }

    private void fetchFailed(long now, int from) {
        pausedUntil.putLatest(from, now + PROPOSER_PAUSE_US);
        download = null;
    }

    /** Handles a chunk; ignored unless it belongs to the download in progress. */
    void chunkReceived(long now, int from, Chunk chunk) {
        Configuration complete = download == null ? null : download.chunkReceived(now, from, chunk);
        if (complete != null) {
            download = null;
            contentFetched(now, complete);
        }
    }

    /** Handles a refusal of a request for chunks; ignored unless it belongs to the download in progress. */
    void unavailableReceived(long now, int from, Unavailable message) {
        if (download != null) {
            download.unavailableReceived(now, from, message);
        }
    }

    /** Supplies the content of a proposal made at this broker. */
    void provide(Configuration configuration) {
        ownProposal = configuration;
    }

    /** The content of a configuration, or null if it is not available here. */
    private Configuration contentOf(ConfigurationId id) {
        if (ownProposal != null && ownProposal.id().equals(id)) {
            return ownProposal;
        }
        return fetched != null && fetched.id().equals(id) ? fetched : null;
    }

    private void contentFetched(long now, Configuration complete) {
        if (context.applier().validate(complete).isPresent()) {
            invalid = complete.id();
            sendReport(now, proposer, fetchingProposal.round(), fetchingProposal.above(), true);
            return;
        }
        fetched = complete;
        proposalReceived(now, proposer, fetchingProposal);
    }

    private void vote(long now, int from, Proposal proposal) {
        List<ConfigurationId> votes = new ArrayList<>(List.of(proposal.id()));
        votes.addAll(record.votes());
        List<ConfigurationId> latest = votes.subList(0, Math.min(votes.size(), VoterRecord.MAX_VOTES));
        if (save(now, new VoterRecord(true, proposal.id().version(), latest, contentOf(proposal.id())))) {
            fetched = null;
            sendReport(now, from, proposal.round(), proposal.above(), false);
        }
    }

    /** Makes a record durable, then uses it; returns false, with nothing changed, if it could not be saved. */
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
