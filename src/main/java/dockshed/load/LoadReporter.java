package dockshed.load;

import dockshed.Director.Metric;
import dockshed.Director.Server;
import dockshed.Director.Settings;
import dockshed.core.Broker;
import dockshed.core.TimerQueue;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Reports estimated loads of an adapter's edge servers to the broker: at each set-up, and periodically for servers with
 * active sessions. For servers that do not report their load themselves. Times are in microseconds.
 */
public final class LoadReporter {
    /** Interval between reports where the settings have none. */
    static final long DEFAULT_INTERVAL_US = 1_000_000;

    private final Broker broker;
    private final TimerQueue timers;
    private final EstimatedLoads loads;
    private final long intervalUs;
    private final long reportDelayUs;
    private boolean reportScheduled;

    public LoadReporter(Broker broker, TimerQueue timers, Settings settings) {
        this.broker = broker;
        this.timers = timers;
        loads = new EstimatedLoads(settings);
        intervalUs = settings.limits().reportInterval() > 0 ? settings.limits().reportInterval() : DEFAULT_INTERVAL_US;
        reportDelayUs = settings.limits().reportDelay();
    }

    /** Sets the complete list of servers. */
    public void updateServers(List<Server> servers) {
        loads.updateServers(servers);
    }

    /** A session has become active. Its load report is current, as the module uses the first report of each session. */
    public void sessionStarted(long now, String server, String name, String className, int rendition) {
        loads.sessionStarted(now, server, name, className, rendition);
        broker.metricReceived(now, server, name, Metric.LINK, loads.linkShare(now, server, now));
        if (!reportScheduled) {
            reportScheduled = true;
            timers.schedule(now + intervalUs, this::reportAll);
        }
    }

    /** An active session was switched to another rendition. */
    public void renditionChanged(long now, String name, int rendition) {
        loads.renditionChanged(now, name, rendition);
    }

    /** A session has ended, if it was active. */
    public void sessionEnded(long now, String name) {
        loads.sessionEnded(now, name);
    }

    /** A server's response arrived; {@code header} is its load header, or null. */
    public void loadHeaderReceived(long now, String server, String header) {
        OptionalDouble share = OrcaReport.linkShare(header);
        if (share.isPresent()) {
            loads.serverReported(now, server, share.getAsDouble());
        }
    }

    /** Periodic reports are assumed to be as late as the settings say, so they give the load at that earlier time. */
    private void reportAll(long now) {
        loads.sessionByServer()
                .forEach((server, name) -> broker.metricReceived(
                        now, server, name, Metric.LINK, loads.linkShare(now, server, now - reportDelayUs)));
        reportScheduled = !loads.sessionByServer().isEmpty();
        if (reportScheduled) {
            timers.schedule(now + intervalUs, this::reportAll);
        }
    }
}
