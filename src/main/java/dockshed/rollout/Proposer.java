package dockshed.rollout;

import dockshed.rollout.ProposalOutcome.Chosen;
import dockshed.rollout.ProposalOutcome.Invalid;
import dockshed.rollout.ProposalOutcome.NotNextVersion;
import dockshed.rollout.ProposalOutcome.OtherContentChosen;
import dockshed.rollout.ProposalOutcome.Rejected;
import dockshed.rollout.ProposalOutcome.SplitVote;
import dockshed.rollout.ProposalOutcome.Undecided;
import dockshed.rollout.RolloutMessage.Proposal;
import dockshed.rollout.RolloutMessage.Report;
import dockshed.rollout.RolloutMessage.ReportRequest;
import java.util.Optional;

/**
 * Puts one configuration to the vote. First it asks the voters which version is next, and ends if its own is another
 * one; then it asks for their votes, in rounds, until a majority has voted for it or no majority is possible any more.
 */
final class Proposer {
    /** Time limit for finding out whether the proposed version is the next one, in microseconds. */
    static final long VERSION_CHECK_TIMEOUT_US = 6_000_000;

    /** Time limit for the vote, in microseconds. */
    static final long VOTING_TIMEOUT_US = 20_000_000;

    /**
     * A majority's answers are enough to tell which version is next; the remaining voters' answers are waited for at
     * most this long, in microseconds.
     */
    static final long MAX_WAIT_FOR_ALL_VOTERS_US = 600_000;

    /** Notified when the proposal was chosen. */
    interface ChosenListener {
        void proposalChosen(long now, Configuration configuration);
    }

    private enum Stage {
        IDLE,
        CHECKING,
        VOTING
    }

    private final NodeContext context;
    private final Voter voter; // null: this broker is no voter
    private final ChosenListener chosenListener;
    private Stage stage = Stage.IDLE;
    private Configuration configuration;
    private VoterRound round;
    private boolean allVotersConsidered; // in the current round
    private long highestReported; // highest version that any voter ever reported to this broker
    private long deadline;

    Proposer(NodeContext context, Voter voter, ChosenListener chosenListener) {
        this.context = context;
        this.voter = voter;
        this.chosenListener = chosenListener;
    }

    /** Starts a proposal; a {@link RolloutEvent.ProposalEnded} reports how it ended. */
    void propose(long now, Configuration proposed) {
        String rejected = rejection(proposed);
        if (rejected != null) {
            context.notifyListener(now, new RolloutEvent.ProposalEnded(proposed.id(), new Rejected(rejected)));
            return;
        }
        configuration = proposed;
        stage = Stage.CHECKING;
        deadline = now + VERSION_CHECK_TIMEOUT_US;
        startRound(now);
    }

    /** Why the configuration cannot be put to the vote here; null: it can. */
    private String rejection(Configuration proposed) {
        if (voter == null) {
            return "this broker is no voter: only the voters "
                    + context.settings().voters() + " can propose, and their answers are trusted";
        }
        if (stage != Stage.IDLE) {
            return "version " + configuration.version() + " is being proposed here: wait until that proposal has ended";
        }
        Optional<String> refusal = context.applier().validate(proposed);
        return refusal.orElse(null);
    }

    private void startRound(long now) {
        allVotersConsidered = false;
        round = new VoterRound(
                context.settings(),
                context.random(),
                now,
                context.settings().voters().size(),
                this::askVoter);
    }

    private void askVoter(long now, int to, int number) {
        long above = configuration.version() - 1;
        RolloutMessage request = stage == Stage.CHECKING
                ? new ReportRequest(number, above)
                : new Proposal(number, above, configuration.id());
        context.sender().send(now, to, request);
    }

    /** When {@link #tick} is due; Long.MAX_VALUE while nothing is proposed. */
    long nextTickAt() {
        if (stage == Stage.IDLE) {
            return Long.MAX_VALUE;
        }
        long due = Math.min(deadline, round.nextTickAt());
        return stage == Stage.CHECKING && !allVotersConsidered
                ? Math.min(due, round.allVotersConsideredAt(MAX_WAIT_FOR_ALL_VOTERS_US))
                : due;
    }

    /** Sends and ends what is due. */
    void tick(long now) {
        if (stage == Stage.IDLE) {
            return;
        }
        if (now >= deadline) {
            timedOut(now);
        } else if (round.isOver(now)) {
            startRound(now);
        } else {
            round.tick(now);
            if (stage == Stage.CHECKING) {
                checkVersion(now);
            }
        }
    }

    /** Handles a voter's answer; false if this proposal did not ask for it. */
    boolean reportReceived(long now, int from, Report report) {
        if (stage == Stage.IDLE || !round.reportReceived(now, from, report)) {
            return false;
        }
        if (stage == Stage.CHECKING) {
            checkVersion(now);
        } else {
            countVotes(now);
        }
        return true;
    }

    // ---- Checking the version.

    private void checkVersion(long now) {
        allVotersConsidered = round.allVotersConsidered(now, MAX_WAIT_FOR_ALL_VOTERS_US);
        if (!allVotersConsidered || round.votingVoters() < context.settings().majority()) {
            return;
        }
        highestReported = Math.max(highestReported, round.highest());
        long expected = highestReported + 1;
        long version = configuration.version();
        ConfigurationId chosen = round.chosenAt(version);
        if (chosen != null && !chosen.equals(configuration.id())) {
            end(now, new OtherContentChosen(chosen));
        } else if (version == expected || version == expected - 1 && isOnlyVotedContent()) {
            stage = Stage.VOTING;
            deadline = now + VOTING_TIMEOUT_US;
            voter.provide(configuration);
            startRound(now);
        } else if (version != expected - 1) {
            end(now, new NotNextVersion(expected));
        }
        // Otherwise another content of this version is being voted on: wait for its outcome.
    }

    /** Whether this content was proposed before and is the only one that has votes in its version. */
    private boolean isOnlyVotedContent() {
        return round.reports().values().stream()
                        .allMatch(report -> report.knownAt(configuration.version()) == null
                                || configuration.id().equals(report.knownAt(configuration.version())))
                && round.votersKnowing(configuration.id()) > 0;
    }

    // ---- Voting.

    private void countVotes(long now) {
        ConfigurationId chosen = round.chosenAt(configuration.version());
        if (chosen != null && chosen.equals(configuration.id())) {
            Configuration done = configuration;
            end(now, new Chosen());
            chosenListener.proposalChosen(now, done);
        } else if (chosen != null) {
            end(now, new OtherContentChosen(chosen));
        } else if (majorityImpossible(this::isRefusal)) {
            end(now, new Invalid());
        } else if (majorityImpossible(this::cannotVote) && everyVoterAnswered()) {
            end(now, new SplitVote(nextFreeVersion()));
        }
    }

    /** A condition on a voter's report. */
    private interface ReportCondition {
        boolean test(Report report);
    }

    private boolean isRefusal(Report report) {
        return report.invalid();
    }

    /** Whether a voter cannot vote for this content any more. */
    private boolean cannotVote(Report report) {
        return report.invalid()
                || report.highest() >= configuration.version()
                        && !report.known().contains(configuration.id());
    }

    /** Whether the voters whose reports meet the condition leave too few for a majority. */
    private boolean majorityImpossible(ReportCondition condition) {
        long against = round.reports().values().stream().filter(condition::test).count();
        return context.settings().voters().size() - against < context.settings().majority();
    }

    private long nextFreeVersion() {
        highestReported = Math.max(highestReported, Math.max(configuration.version(), round.highest()));
        return highestReported + 1;
    }

    private boolean everyVoterAnswered() {
        return round.reports().size() == context.settings().voters().size();
    }

    private void timedOut(long now) {
        ConfigurationId id = configuration.id();
        if (stage == Stage.CHECKING
                        && round.votingVoters() >= context.settings().majority()
                || stage == Stage.VOTING && majorityImpossible(this::cannotVote)) {
            end(now, new SplitVote(nextFreeVersion()));
        } else {
            end(now, new Undecided(round.votersKnowing(id), context.settings().majority()));
        }
    }

    private void end(long now, ProposalOutcome outcome) {
        ConfigurationId id = configuration.id();
        stage = Stage.IDLE;
        round = null;
        configuration = null;
        context.notifyListener(now, new RolloutEvent.ProposalEnded(id, outcome));
    }
}
