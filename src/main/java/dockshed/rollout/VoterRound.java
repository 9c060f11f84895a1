package dockshed.rollout;

import dockshed.rollout.RolloutMessage.Report;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One round of asking the voters. Answers count from when the round began, which is before any of them was given, and for
 * {@link #LONGEST}: {@link Voter}'s argument rests on that.
 */
final class VoterRound {
    /** Microseconds for which an answer counts at most. */
    static final long LONGEST = 2_000_000;
    /** Of 1: how much faster one broker's clock may run than another's. */
    static final double DRIFT = 0.01;
    /** Voters that have not answered are asked again after so long, then after twice that. */
    static final long ASK_AGAIN = 400_000;

    /** Asks one voter: the question carries the round's number. */
    interface Question {
        void ask(long now, int voter, int round);
    }

    private final RolloutSettings settings;
    private final Question question;
    private final int number;
    private final long began;
    private final Map<Integer, Report> reports = new HashMap<>();
    private long askAt;
    private long askGap = ASK_AGAIN;

    /** Begins a round and asks {@code first} voters, chosen at random; the others hear of it if those do not answer. */
    VoterRound(RolloutSettings settings, SplittableRandom random, long now, int first, Question question) {
        this.settings = settings;
        this.question = question;
        number = random.nextInt();
        began = now;
        askAt = now + askGap;
        int offset = random.nextInt(settings.voters().size());
        for (int i = 0; i < Math.min(first, settings.voters().size()); i++) {
            question.ask(
                    now, settings.voters().get((offset + i) % settings.voters().size()), number);
        }
    }

    boolean over(long now) {
        return now - began >= LONGEST;
    }

    /** Whether every voter answered, or had a time to do so. */
    boolean heardOut(long now, long patience) {
        return reports.size() == settings.voters().size() || now - began >= patience;
    }

    /** When {@link #heardOut} is true at the latest. */
    long heardOutAt(long patience) {
        return began + patience;
    }

    /** When {@link #tick} has something to do. */
    long next() {
        return Math.min(askAt, began + LONGEST);
    }

    void tick(long now) {
        if (over(now) || now < askAt) {
            return;
        }
        askGap *= 2;
        askAt = now + askGap;
        for (int voter : settings.voters()) {
            if (!reports.containsKey(voter)) {
                question.ask(now, voter, number);
            }
        }
    }

    /** Takes a voter's answer; false: it is not one to this round, or too late. */
    boolean answered(long now, int from, Report report) {
        if (report.round() != number || over(now) || !settings.isVoter(from)) {
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
    int count(ConfigurationId id) {
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
                if (higher && count(id) >= settings.majority()) {
                    best = id;
                }
            }
        }
        return best;
    }

    /** What a majority knows at a version; null: nothing. */
    ConfigurationId chosenAt(long version) {
        for (Report report : reports.values()) {
            ConfigurationId id = report.at(version);
            if (id != null && count(id) >= settings.majority()) {
                return id;
            }
        }
        return null;
    }

    /** Answers of voters that vote. */
    int voting() {
        return (int) reports.values().stream()
                .filter(r -> r.phase() == VoterPhase.VOTING)
                .count();
    }

    /** The highest version that any answer names. */
    long highest() {
        return reports.values().stream().mapToLong(Report::highest).max().orElse(0);
    }
}
