package dockshed.rollout;

import dockshed.rollout.ProposalOutcome.Beaten;
import dockshed.rollout.ProposalOutcome.Chosen;
import dockshed.rollout.ProposalOutcome.Contested;
import dockshed.rollout.ProposalOutcome.Invalid;
import dockshed.rollout.ProposalOutcome.NotNext;
import dockshed.rollout.ProposalOutcome.Rejected;
import dockshed.rollout.ProposalOutcome.Undecided;
import dockshed.rollout.RolloutMessage.Proposal;
import dockshed.rollout.RolloutMessage.Report;
import dockshed.rollout.RolloutMessage.ReportRequest;
import java.util.Optional;

/**
 * Brings one configuration to the vote. First it asks which version is the next, and gives up where its own is not; then
 * it asks the voters for their votes, in rounds, until a majority voted for it or cannot any more.
 */
final class Proposer {
    /** Microseconds for which it looks whether its number is the next, and for which it asks for votes. */
    static final long CHECKING_PATIENCE = 6_000_000;

    static final long VOTING_PATIENCE = 20_000_000;

    /** A majority's answers are enough to say which version is the next; so long the others are waited for. */
    static final long HEAR_OUT = 600_000;

    /** Hears of a proposal that was chosen. */
    interface WhenChosen {
        void chosen(long now, Configuration configuration);
    }

    private enum Stage {
        IDLE,
        CHECKING,
        VOTING
    }

    private final NodeContext context;
    private final Voter voter; // null: this broker is none
    private final WhenChosen whenChosen;
    private Stage stage = Stage.IDLE;
    private Configuration configuration;
    private VoterRound round;
    private boolean heardOut; // in this round
    private long highestHeard; // the highest version that any voter ever told this broker
    private long until;

    Proposer(NodeContext context, Voter voter, WhenChosen whenChosen) {
        this.context = context;
        this.voter = voter;
        this.whenChosen = whenChosen;
    }

    void propose(long now, Configuration proposed) {
        String rejected = rejection(proposed);
        if (rejected != null) {
            context.tell(now, new RolloutEvent.ProposalEnded(proposed.id(), new Rejected(rejected)));
            return;
        }
        configuration = proposed;
        stage = Stage.CHECKING;
        until = now + CHECKING_PATIENCE;
        begin(now);
    }

    private String rejection(Configuration proposed) {
        if (voter == null) {
            return "this broker is no voter: only voters " + context.settings().voters()
                    + " propose, and their answers are believed";
        }
        if (stage != Stage.IDLE) {
            return "version " + configuration.version() + " is being proposed here: wait until that has ended";
        }
        Optional<String> refusal = context.applier().validate(proposed);
        return refusal.orElse(null);
    }

    private void begin(long now) {
        heardOut = false;
        round = new VoterRound(
                context.settings(),
                context.random(),
                now,
                context.settings().voters().size(),
                this::ask);
    }

    private void ask(long now, int to, int number) {
        long above = configuration.version() - 1;
        RolloutMessage question = stage == Stage.CHECKING
                ? new ReportRequest(number, above)
                : new Proposal(number, above, configuration.id());
        context.sender().send(now, to, question);
    }

    long next() {
        if (stage == Stage.IDLE) {
            return Long.MAX_VALUE;
        }
        long due = Math.min(until, round.next());
        return stage == Stage.CHECKING && !heardOut ? Math.min(due, round.heardOutAt(HEAR_OUT)) : due;
    }

    void tick(long now) {
        if (stage == Stage.IDLE) {
            return;
        }
        if (now >= until) {
            outOfTime(now);
        } else if (round.over(now)) {
            begin(now);
        } else {
            round.tick(now);
            if (stage == Stage.CHECKING) {
                check(now);
            }
        }
    }

    /** Takes a voter's answer; false: it was not asked for here. */
    boolean answered(long now, int from, Report report) {
        if (stage == Stage.IDLE || !round.answered(now, from, report)) {
            return false;
        }
        if (stage == Stage.CHECKING) {
            check(now);
        } else {
            count(now);
        }
        return true;
    }

    // ---- Which version is the next.

    private void check(long now) {
        heardOut = round.heardOut(now, HEAR_OUT);
        if (!heardOut || round.voting() < context.settings().majority()) {
            return;
        }
        highestHeard = Math.max(highestHeard, round.highest());
        long expected = highestHeard + 1;
        long version = configuration.version();
        ConfigurationId chosen = round.chosenAt(version);
        if (chosen != null && !chosen.equals(configuration.id())) {
            end(now, new Beaten(chosen));
        } else if (version == expected || version == expected - 1 && onlyOwnVotes()) {
            stage = Stage.VOTING;
            until = now + VOTING_PATIENCE;
            voter.provide(configuration);
            begin(now);
        } else if (version != expected - 1) {
            end(now, new NotNext(expected));
        }
        // Otherwise another content of this version is being voted on: what comes of it is waited for.
    }

    /** Whether this content was proposed before and is the only one of its version. */
    private boolean onlyOwnVotes() {
        return round.reports().values().stream()
                        .allMatch(r -> r.at(configuration.version()) == null
                                || configuration.id().equals(r.at(configuration.version())))
                && round.count(configuration.id()) > 0;
    }

    // ---- The votes.

    private void count(long now) {
        ConfigurationId chosen = round.chosenAt(configuration.version());
        if (chosen != null && chosen.equals(configuration.id())) {
            Configuration done = configuration;
            end(now, new Chosen());
            whenChosen.chosen(now, done);
        } else if (chosen != null) {
            end(now, new Beaten(chosen));
        } else if (lost(this::refused)) {
            end(now, new Invalid());
        } else if (lost(this::cannot) && everyVoterAnswered()) {
            end(now, new Contested(nextVersion()));
        }
    }

    private interface Obstacle {
        boolean stands(Report report);
    }

    private boolean refused(Report report) {
        return report.invalid();
    }

    /** Whether a voter cannot vote for this content any more. */
    private boolean cannot(Report report) {
        return report.invalid()
                || report.highest() >= configuration.version()
                        && !report.known().contains(configuration.id());
    }

    /** Whether those that answered so leave too few for a majority. */
    private boolean lost(Obstacle obstacle) {
        long against =
                round.reports().values().stream().filter(obstacle::stands).count();
        return context.settings().voters().size() - against < context.settings().majority();
    }

    private long nextVersion() {
        highestHeard = Math.max(highestHeard, Math.max(configuration.version(), round.highest()));
        return highestHeard + 1;
    }

    private boolean everyVoterAnswered() {
        return round.reports().size() == context.settings().voters().size();
    }

    private void outOfTime(long now) {
        ConfigurationId id = configuration.id();
        if (stage == Stage.CHECKING && round.voting() >= context.settings().majority()
                || stage == Stage.VOTING && lost(this::cannot)) {
            end(now, new Contested(nextVersion()));
        } else {
            end(now, new Undecided(round.count(id), context.settings().majority()));
        }
    }

    private void end(long now, ProposalOutcome outcome) {
        ConfigurationId id = configuration.id();
        stage = Stage.IDLE;
        round = null;
        configuration = null;
        context.tell(now, new RolloutEvent.ProposalEnded(id, outcome));
    }
}
