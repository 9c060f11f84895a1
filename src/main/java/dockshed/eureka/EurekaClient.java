package dockshed.eureka;

import dockshed.config.HlsConfig;
import dockshed.core.TimerQueue;
import dockshed.names.Listing;
import dockshed.net.Clock;
import dockshed.net.Headed;
import dockshed.net.HttpFetch;
import dockshed.net.Net;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks Eureka for the list: all of it first, then deltas, and all of it again where a delta does not add up. */
public final class EurekaClient {
    static final int LIMIT = 4 << 20;
    private static final int CONNECT_MILLIS = 1000;
    private static final long PATIENCE = 3_000_000;
    private static final Logger LOG = LoggerFactory.getLogger(EurekaClient.class);

    private final HlsConfig.Eureka config;
    private final Net net;
    private final Clock clock;
    private final TimerQueue deadlines;
    private final Consumer<List<Listing>> listener;
    private final Registry registry = new Registry();
    private boolean whole;
    private boolean reached = true;

    /** {@code listener} hears the whole list whenever it may have changed. */
    public EurekaClient(
            HlsConfig.Eureka config, Net net, Clock clock, TimerQueue deadlines, Consumer<List<Listing>> listener) {
        this.config = config;
        this.net = net;
        this.clock = clock;
        this.deadlines = deadlines;
        this.listener = listener;
    }

    public void start() {
        ask(clock.now());
    }

    private void ask(long due) {
        boolean delta = whole;
        TimerQueue.Timer[] late = {null};
        HttpFetch f = HttpFetch.get(
                net,
                config.at(),
                config.path() + (delta ? "/apps/delta" : "/apps"),
                Map.of("Accept", "application/json"),
                CONNECT_MILLIS,
                LIMIT,
                new HttpFetch.Listener() {
                    @Override
                    public void answered(Headed answer) {
                        deadlines.cancel(late[0]);
                        took(delta, answer);
                    }

                    @Override
                    public void broken(boolean ran, String why) {
                        deadlines.cancel(late[0]);
                        missed(why);
                    }
                });
        late[0] = deadlines.schedule(clock.now() + PATIENCE, t -> {
            f.cancel();
            missed("no answer in time");
        });
    }

    private void took(boolean delta, Headed answer) {
        try {
            if (answer.status() != 200) {
                throw new Registry.Unfit("status " + answer.status());
            }
            if (delta) {
                registry.delta(answer.text());
            } else {
                registry.full(answer.text());
            }
            listener.accept(registry.servers(config.app()));
            if (!whole || !reached) {
                LOG.info("Eureka's list taken: whole={}", !delta);
            }
            whole = true;
            reached = true;
            later();
        } catch (Registry.Unfit e) {
            LOG.warn("Eureka's answer does not fit: delta={} why={}", delta, e.getMessage());
            whole = false;
            if (delta) {
                ask(clock.now()); // all of it, at once
            } else {
                later();
            }
        }
    }

    /** The last list stands. */
    private void missed(String why) {
        if (reached) {
            LOG.warn("Eureka out of reach, the last list stands: why={}", why);
        }
        reached = false;
        later();
    }

    private void later() {
        deadlines.schedule(clock.now() + config.poll(), this::ask);
    }
}
