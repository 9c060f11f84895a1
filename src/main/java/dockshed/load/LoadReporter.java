package dockshed.load;

import dockshed.Director.Metric;
import dockshed.Director.Server;
import dockshed.Director.Settings;
import dockshed.core.Broker;
import dockshed.core.TimerQueue;
import java.util.List;
import java.util.OptionalDouble;

/** Tells the broker the reckoned readings of an adapter's boxes: at each set-up, and every so often while sessions stand. */
public final class LoadReporter {
    /** Between readings where the settings name no time. */
    static final long DEFAULT_INTERVAL_US = 1_000_000;

    private final Broker broker;
    private final TimerQueue timers;
    private final EstimatedLoads loads;
    private final long intervalUs;
    private final long reportDelayUs;
    private boolean reportScheduled;

    public LoadReporter(Broker broker, TimerQueue deadlines, Settings settings) {
        this.broker = broker;
        this.timers = deadlines;
        loads = new EstimatedLoads(settings);
        intervalUs = settings.limits().reportInterval() > 0 ? settings.limits().reportInterval() : DEFAULT_INTERVAL_US;
        reportDelayUs = settings.limits().reportDelay();
    }

    public void updateServers(List<Server> servers) {
        loads.updateServers(servers);
    }

    /** A session stands; its own reading is of now, as the module takes the first of each session. */
    public void sessionStarted(long now, String server, String name, String className, int rung) {
        loads.sessionStarted(now, server, name, className, rung);
        broker.metricReceived(now, server, name, Metric.LINK, loads.linkShare(now, server, now));
        if (!reportScheduled) {
            reportScheduled = true;
            timers.schedule(now + intervalUs, this::reportAll);
        }
    }

    public void renditionChanged(long now, String name, int rung) {
        loads.renditionChanged(now, name, rung);
    }

    public void sessionEnded(long now, String name) {
        loads.sessionEnded(now, name);
    }

    /** The load header of an answer of the box, or null. */
    public void loadHeaderReceived(long now, String server, String header) {
        OptionalDouble share = OrcaReport.linkShare(header);
        if (share.isPresent()) {
            loads.serverReported(now, server, share.getAsDouble());
        }
    }

    /** Readings that are not a set-up's count as late as the settings say, so they are of that time. */
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
