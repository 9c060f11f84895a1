package dockshed.core;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ring buffer of the latest steps of all requests. Recording a step costs a few stores; the steps of a request are
 * formatted and logged only if it fails. What is kept of a text is bounded, as peers may send any. Times are in
 * microseconds of the broker's clock. Not thread-safe.
 */
public final class RequestTrace {
    /** Most steps kept: those of the last ten seconds, at some tens of requests a second with eight steps each. */
    static final int MAX_STEPS = 4096;

    /** Longest name whose steps are kept: a session's has 16 digits. */
    static final int MAX_NAME_LENGTH = 64;
    /** Longest part of a step or a detail that is kept. */
    static final int MAX_TEXT_LENGTH = 64;

    /** Most failures logged a second: each is searched for in the whole buffer, and may come by the thousand. */
    static final int MAX_FAILURES_LOGGED_PER_S = 20;

    private static final Logger LOG = LoggerFactory.getLogger("dockshed.core.Trail");

    private final long[] times = new long[MAX_STEPS];
    private final String[] names = new String[MAX_STEPS];
    private final String[] steps = new String[MAX_STEPS];
    private final String[] details = new String[MAX_STEPS];
    private int next;
    private long latestAt; // time of the latest step
    private final LogLimit failureLog = new LogLimit(MAX_FAILURES_LOGGED_PER_S);

    /**
     * Records a step of a request. Texts of usual length are not copied; to keep this cheap, pass existing strings, and
     * build none.
     *
     * @param name   name of the session
     * @param detail may be null
     */
    public void add(long now, String name, String step, String detail) {
        latestAt = now;
        if (name.length() > MAX_NAME_LENGTH) {
            return;
        }
        times[next] = now;
        names[next] = name;
        steps[next] = shortened(step);
        details[next] = shortened(detail);
        next = (next + 1) % MAX_STEPS;
    }

    private static String shortened(String text) {
        return text == null || text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }

    /**
     * The recorded steps of a request, oldest first, with the microseconds since the first of them, in the format
     * {@code taken+0 out(s-1)+210 ...}; empty if there are none.
     */
    public String stepsOf(String name) {
        StringBuilder out = new StringBuilder();
        long first = -1;
        for (int i = 0; i < MAX_STEPS; i++) {
            int slot = (next + i) % MAX_STEPS;
            if (name.equals(names[slot])) {
                first = first < 0 ? times[slot] : first;
                out.append(out.length() == 0 ? "" : " ").append(steps[slot]);
                if (details[slot] != null) {
                    out.append('(').append(details[slot]).append(')');
                }
                out.append('+').append(times[slot] - first);
            }
        }
        return out.toString();
    }

    /** Logs the failure of a request with its recorded steps, unless too many have failed within this second. */
    public void logFailure(String name, String why) {
        if (mayLogFailure()) {
            LOG.warn("request failed: session={} why={} steps={}", name, why, stepsOf(name));
        }
    }

    /** Counts a failure; whether it is to be logged. */
    boolean mayLogFailure() {
        return failureLog.mayLog(latestAt);
    }
}
