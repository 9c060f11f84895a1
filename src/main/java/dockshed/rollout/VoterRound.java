package dockshed.rollout;

import dockshed.rollout.RolloutMessage.Report;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One round of requests to the voters. Answers count for {@link #DURATION_US} from the start of the round, which is
 * before any of them was given; the reasoning in {@link Voter} depends on that.
 */
final class VoterRound {
    /** Maximum time for which an answer counts, in microseconds. */
    static final long DURATION_US = 2_000_000;
    /** How much faster one broker's clock may run than another's, as a fraction. */
    static final double MAX_CLOCK_DRIFT = 0.01;
    /** Delay before voters that have not answered are asked again, in microseconds; doubled each time. */
    static final long FIRST_RETRY_DELAY_US = 400_000;

    /** Sends a request to one voter, with the round's number. */
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

    /**
     * Starts a round and sends the request to {@code first} voters, chosen at random; the others are asked if those do
     * not answer.
     */
    VoterRound(RolloutSettings settings, SplittableRandom random, long now, int first, VoterRequest request) {
        this.settings = settings;
        this.request = request;
        number = random.nextInt();
        startedAt = now;
        retryAt = now + retryDelay;
        int offset = random.nextInt(settings.voters().size());
        for (int i = 0; i < Math.min(first, settings.voters().size()); i++) {
            request.ask(
                    now, settings.voters().get((offset + i) % settings.voters().size()), number);
        }
    }

    /** Whether the answers do not count any more. */
    boolean isOver(long now) {
        return now - startedAt >= DURATION_US;
    }

    /** Whether every voter has answered, or has had {@code maxWait} microseconds to do so. */
    boolean allVotersConsidered(long now, long maxWait) {
        return reports.size() == settings.voters().size() || now - startedAt >= maxWait;
    }

    /** When {@link #allVotersConsidered} becomes true at the latest. */
    long allVotersConsideredAt(long maxWait) {
        return startedAt + maxWait;
    }

    /** When {@link #tick} is due. */
    long nextTickAt() {
        return Math.min(retryAt, startedAt + DURATION_US);
    }

    /** Asks the voters that have not answered again. */
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

    /** Records a voter's answer; false if it belongs to another round or is too late. */
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

    /** Voters that voted for a configuration or have it in force. */
    int votersKnowing(ConfigurationId id) {
        int count = 0;
        for (Report report : reports.values()) {
            count += report.known().contains(id) ? 1 : 0;
        }
        return count;
    }

    /** The highest configuration above a version that a majority knows; null if there is none. */
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

    /** The configuration of a version that a majority knows; null if there is none. */
    ConfigurationId chosenAt(long version) {
        for (Report report : reports.values()) {
            ConfigurationId id = report.knownAt(version);
            if (id != null && votersKnowing(id) >= settings.majority()) {
                return id;
            }
        }
        return null;
    }

    /** Answers from voters that vote. */
    int votingVoters() {
        return (int) reports.values().stream()
                .filter(report -> report.phase() == VoterPhase.VOTING)
                .count();
    }

    /** The highest version in any answer; 0 if there is none. */
    long highest() {
        return reports.values().stream().mapToLong(Report::highest).max().orElse(0);
    }
}
