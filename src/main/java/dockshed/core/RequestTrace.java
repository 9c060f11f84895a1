package dockshed.core;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The last steps of all requests, by session name, in a ring that costs a few stores a step; what is kept of one request
 * is written to the log only where it ended badly. Times are microseconds of the broker's clock. Of one thread.
 */
public final class RequestTrace {
    /** Steps kept: at some tens of requests a second and eight steps each, those of the last ten seconds. */
    static final int MAX_STEPS = 4096;

    private static final Logger LOG = LoggerFactory.getLogger("dockshed.core.Trail");

    private final long[] at = new long[MAX_STEPS];
    private final String[] names = new String[MAX_STEPS];
    private final String[] steps = new String[MAX_STEPS];
    private final String[] details = new String[MAX_STEPS];
    private int next;

    /** Books a step; {@code detail} may be null. Nothing is built or copied: give what is there already. */
    public void add(long now, String name, String step, String detail) {
        at[next] = now;
        names[next] = name;
        steps[next] = step;
        details[next] = detail;
        next = (next + 1) % MAX_STEPS;
    }

    /** What is kept of a request, the oldest first: {@code taken+0 out(s-1)+210 ...}, microseconds from the first. */
    public String stepsOf(String name) {
        StringBuilder out = new StringBuilder();
        long first = -1;
        for (int i = 0; i < MAX_STEPS; i++) {
            int k = (next + i) % MAX_STEPS;
            if (name.equals(names[k])) {
                first = first < 0 ? at[k] : first;
                out.append(out.length() == 0 ? "" : " ").append(steps[k]);
                if (details[k] != null) {
                    out.append('(').append(details[k]).append(')');
                }
                out.append('+').append(at[k] - first);
            }
        }
        return out.toString();
    }

    /** Writes down how a request came to a bad end. */
    public void logFailure(String name, String why) {
        LOG.warn("request ended badly: session={} why={} steps={}", name, why, stepsOf(name));
    }
}
