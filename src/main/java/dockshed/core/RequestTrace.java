package dockshed.core;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ring buffer of the latest steps of all requests. Recording a step costs a few stores; the steps of a request are
 * formatted and logged only if it fails. Times are in microseconds of the broker's clock. Not thread-safe.
 */
public final class RequestTrace {
    /** Most steps kept: those of the last ten seconds, at some tens of requests a second with eight steps each. */
    static final int MAX_STEPS = 4096;

    private static final Logger LOG = LoggerFactory.getLogger("dockshed.core.Trail");

    private final long[] times = new long[MAX_STEPS];
    private final String[] names = new String[MAX_STEPS];
    private final String[] steps = new String[MAX_STEPS];
    private final String[] details = new String[MAX_STEPS];
    private int next;

    /**
     * Records a step of a request. Nothing is copied; to keep this cheap, pass existing strings, and build none.
     *
     * @param name   name of the session
     * @param detail may be null
     */
    public void add(long now, String name, String step, String detail) {
        times[next] = now;
        names[next] = name;
        steps[next] = step;
        details[next] = detail;
        next = (next + 1) % MAX_STEPS;
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

    /** Logs the failure of a request with its recorded steps. */
    public void logFailure(String name, String why) {
        LOG.warn("request failed: session={} why={} steps={}", name, why, stepsOf(name));
    }
}
