package dockshed.load;

import dockshed.Director.Metric;
import dockshed.Director.Server;
import dockshed.Director.Settings;
import dockshed.core.Broker;
import dockshed.core.TimerQueue;
import java.util.List;
import java.util.OptionalDouble;

/** Tells the broker the reckoned readings of an adapter's boxes: at each set-up, and every so often while sessions stand. */
public final class LoadTeller {
    /** Between readings where the settings name no time. */
    static final long USUAL = 1_000_000;

    private final Broker broker;
    private final TimerQueue deadlines;
    private final ReckonedLoads loads;
    private final long every;
    private final long late;
    private boolean waiting;

    public LoadTeller(Broker broker, TimerQueue deadlines, Settings settings) {
        this.broker = broker;
        this.deadlines = deadlines;
        loads = new ReckonedLoads(settings);
        every = settings.limits().reportInterval() > 0 ? settings.limits().reportInterval() : USUAL;
        late = settings.limits().reportDelay();
    }

    public void members(List<Server> servers) {
        loads.members(servers);
    }

    /** A session stands; its own reading is of now, as the module takes the first of each session. */
    public void stands(long now, String server, String name, String className, int rung) {
        loads.stands(now, server, name, className, rung);
        broker.metricReceived(now, server, name, Metric.LINK, loads.share(now, server, now));
        if (!waiting) {
            waiting = true;
            deadlines.schedule(now + every, this::tell);
        }
    }

    public void rate(long now, String name, int rung) {
        loads.rate(now, name, rung);
    }

    public void over(long now, String name) {
        loads.over(now, name);
    }

    /** The load header of an answer of the box, or null. */
    public void header(long now, String server, String header) {
        OptionalDouble share = OrcaReport.link(header);
        if (share.isPresent()) {
            loads.said(now, server, share.getAsDouble());
        }
    }

    /** Readings that are not a set-up's count as late as the settings say, so they are of that time. */
    private void tell(long now) {
        loads.heldBy()
                .forEach((server, name) ->
                        broker.metricReceived(now, server, name, Metric.LINK, loads.share(now, server, now - late)));
        waiting = !loads.heldBy().isEmpty();
        if (waiting) {
            deadlines.schedule(now + every, this::tell);
        }
    }
}
