package dockshed.rollout;

import dockshed.rollout.RolloutMessage.Report;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One round of asking the voters. Answers count from when the round began, which is before any of them was given, and for
 * {@link #DURATION_US}: {@link Voter}'s argument rests on that.
 */
final class VoterRound {
    /** Microseconds for which an answer counts at most. */
    static final long DURATION_US = 2_000_000;
    /** Of 1: how much faster one broker's clock may run than another's. */
    static final double MAX_CLOCK_DRIFT = 0.01;
    /** Voters that have not answered are asked again after so long, then after twice that. */
    static final long FIRST_RETRY_DELAY_US = 400_000;

    /** Asks one voter: the question carries the round's number. */
    interface VoterRequest {
        void ask(long now, int voter, int round);
    }

    private final RolloutSettings settings;
    private final VoterRequest request;
    private final int number;
    private final long startedAt;
    private final Map<Integer, Report> reports = new HashMap<>();
    private long retryAt;
    private long retryDelay = FIRST_RETRY_DELAY_US;

    /** Begins a round and asks {@code first} voters, chosen at random; the others hear of it if those do not answer. */
    VoterRound(RolloutSettings settings, SplittableRandom random, long now, int first, VoterRequest question) {
        this.settings = settings;
        this.request = question;
        number = random.nextInt();
        startedAt = now;
        retryAt = now + retryDelay;
        int offset = random.nextInt(settings.voters().size());
        for (int i = 0; i < Math.min(first, settings.voters().size()); i++) {
            question.ask(
                    now, settings.voters().get((offset + i) % settings.voters().size()), number);
        }
    }

    boolean isOver(long now) {
        return now - startedAt >= DURATION_US;
    }

    /** Whether every voter answered, or had a time to do so. */
    boolean allVotersConsidered(long now, long patience) {
        return reports.size() == settings.voters().size() || now - startedAt >= patience;
    }

    /** When {@link #allVotersConsidered} is true at the latest. */
    long allVotersConsideredAt(long patience) {
        return startedAt + patience;
    }

    /** When {@link #tick} has something to do. */
    long nextTickAt() {
        return Math.min(retryAt, startedAt + DURATION_US);
    }

    void tick(long now) {
        if (isOver(now) || now < retryAt) {
            return;
        }
        retryDelay *= 2;
        retryAt = now + retryDelay;
        for (int voter : settings.voters()) {
            if (!reports.containsKey(voter)) {
                request.ask(now, voter, number);
            }
        }
    }

    /** Takes a voter's answer; false: it is not one to this round, or too late. */
    boolean reportReceived(long now, int from, Report report) {
        if (report.round() != number || isOver(now) || !settings.isVoter(from)) {
            return false;
        }
        reports.put(from, report);
        return true;
    }

    /** The answers so far, by voter. */
    Map<Integer, Report> reports() {
        return reports;
    }

    /** Voters that voted for it or have it in force. */
    int votersKnowing(ConfigurationId id) {
        int count = 0;
        for (Report report : reports.values()) {
            count += report.known().contains(id) ? 1 : 0;
        }
        return count;
    }

    /** The highest version above one given that a majority knows; null: there is none. */
    ConfigurationId chosenAbove(long version) {
        ConfigurationId best = null;
        for (Report report : reports.values()) {
            for (ConfigurationId id : report.known()) {
                boolean higher = id.version() > (best == null ? version : best.version());
                if (higher && votersKnowing(id) >= settings.majority()) {
                    best = id;
                }
            }
        }
        return best;
    }

    /** What a majority knows at a version; null: nothing. */
    ConfigurationId chosenAt(long version) {
        for (Report report : reports.values()) {
            ConfigurationId id = report.knownAt(version);
            if (id != null && votersKnowing(id) >= settings.majority()) {
                return id;
            }
        }
        return null;
    }

    /** Answers of voters that vote. */
    int votingVoters() {
        return (int) reports.values().stream()
                .filter(r -> r.phase() == VoterPhase.VOTING)
                .count();
    }

    /** The highest version that any answer names. */
    long highest() {
        return reports.values().stream().mapToLong(Report::highest).max().orElse(0);
    }
}
