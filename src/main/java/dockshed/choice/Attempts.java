package dockshed.choice;

import static dockshed.choice.Choice.SECOND_US;

import dockshed.Director.Outcome;
import dockshed.Director.Rules;
import dockshed.model.EdgeServer;
import dockshed.model.Session;

/**
 * Attempts at edge servers: whether a request may be retried, an attempt's time limit, and what its end says about the
 * server.
 */
record Attempts(Context context) {
    private static final double ATTEMPT_TIME_SHARE = 0.5; // of the goal time, for an attempt that can be retried

    /** Consecutive attempts without an answer; one alone may be a lost connection or a delay in this broker. */
    private static final int FAILURES_BEFORE_PAUSE = 3;

    private static final long PAUSE_US = 3 * SECOND_US; // for which a failing or full server is sent nothing

    /** Sends the session's set-up to the server at the rendition. */
    void send(long now, Session session, EdgeServer server, int rendition) {
        context.rates().recordSetUp(now, session.attempts() > 0);
        session.send(now, server, rendition);
        context.actions().setRendition(session.id(), rendition);
        context.actions().send(session.id(), server.id(), timeLimit(now, session));
    }

    /** Time limit of the attempt in microseconds. */
    private long timeLimit(long now, Session session) {
        long timeLeft = session.deadline() - now;
        boolean retryPossible = session.attempts() < context.settings().limits().attempts() && session.repeatable();
        return retryPossible
                ? Math.min(timeLeft, (long)
                        (ATTEMPT_TIME_SHARE * session.sessionClass().goalTime()))
                : timeLeft;
    }

    /**
     * Whether the request may be sent to another server: no earlier attempt may have run unless it can be repeated
     * (rule 2), time and attempts are left, and the retry budget that all requests share (rule 6) is not used up.
     */
    boolean mayRetry(long now, Session session) {
        Rules rules = context.settings().rules();
        double budget =
                rules.spareRetries() + rules.retryRatio() * context.rates().requests(now);
        boolean overBudget = rules.retryWindow() > 0 && context.rates().retries(now) + 1 > budget;
        boolean attemptLeft = session.attempts() < context.settings().limits().attempts() && now < session.deadline();
        return attemptLeft && !session.mustNotRepeat() && context.actions().mayRetry() && !overBudget;
    }

    /**
     * Updates the server's state by the end of an attempt or session. A single lost or late answer does not count
     * against the server: its connection or an overloaded broker may be the cause.
     */
    void recordEnd(long now, EdgeServer server, Outcome outcome, boolean played) {
        boolean unreachable = outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET && played;
        if (unreachable) {
            server.connectionLost(now); // rule 4: it may have restarted and be cold
        }
        if (!played && (unreachable || outcome == Outcome.TIMEOUT || outcome == Outcome.RESET)) {
            server.attemptFailed();
        }
        if (unreachable || outcome == Outcome.FULL || server.failures() >= FAILURES_BEFORE_PAUSE) {
            server.pauseUntil(now + PAUSE_US);
        }
    }
}
