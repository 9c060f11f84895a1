package dockshed.choice;

import static dockshed.choice.Choice.SECOND_US;

import dockshed.Director.Outcome;
import dockshed.Director.Rules;
import dockshed.model.EdgeServer;
import dockshed.model.Session;

/** Attempts at edge servers: whether a request has another, how long it may take, what its end tells of the server. */
record Attempts(Context context) {
    private static final double ATTEMPT_TIME_SHARE = 0.5; // of the goal time for an attempt if another can follow
    private static final int FAILURES_BEFORE_PAUSE =
            3; // attempts in a row without an answer that make a server failing
    private static final long PAUSE_US = 3 * SECOND_US; // after failures at a server

    void send(long now, Session session, EdgeServer server, int rendition) {
        context.rates().recordSetUp(now, session.attempts() > 0);
        session.send(now, server, rendition);
        context.actions().setRendition(session.id(), rendition);
        context.actions().send(session.id(), server.id(), timeLimit(now, session));
    }

    private long timeLimit(long now, Session session) {
        long left = session.deadline() - now;
        boolean again = session.attempts() < context.settings().limits().attempts() && session.repeatable();
        return again
                ? Math.min(left, (long)
                        (ATTEMPT_TIME_SHARE * session.sessionClass().goalTime()))
                : left;
    }

    /** Rules 2 and 6, the site's limit of attempts, and the budget that all requests share. */
    boolean mayRetry(long now, Session session) {
        Rules rules = context.settings().rules();
        double ration =
                rules.spareRetries() + rules.retryRatio() * context.rates().requests(now);
        boolean rationed = rules.retryWindow() > 0 && context.rates().retries(now) + 1 > ration;
        boolean left = session.attempts() < context.settings().limits().attempts() && now < session.deadline();
        return left && !session.mustNotRepeat() && context.actions().mayRetry() && !rationed;
    }

    /** What an end tells of the server. One lost or late answer tells of its connection, or of a hurry here. */
    void recordEnd(long now, EdgeServer server, Outcome outcome, boolean played) {
        boolean gone = outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET && played;
        if (gone) {
            server.connectionLost(now); // rule 4
        }
        if (!played && (gone || outcome == Outcome.TIMEOUT || outcome == Outcome.RESET)) {
            server.attemptFailed();
        }
        if (gone || outcome == Outcome.FULL || server.failures() >= FAILURES_BEFORE_PAUSE) {
            server.pauseUntil(now + PAUSE_US);
        }
    }
}
