package dockshed.eureka;

import dockshed.config.HlsConfig;
import dockshed.core.TimerQueue;
import dockshed.names.ListedServer;
import dockshed.net.Clock;
import dockshed.net.HttpFetch;
import dockshed.net.HttpStyleMessage;
import dockshed.net.Net;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks Eureka for the list: all of it first, then deltas, and all of it again where a delta does not add up. */
public final class EurekaClient {
    static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long RESPONSE_TIMEOUT_US = 3_000_000;
    private static final Logger LOG = LoggerFactory.getLogger(EurekaClient.class);

    private final HlsConfig.Eureka config;
    private final Net net;
    private final Clock clock;
    private final TimerQueue timers;
    private final Consumer<List<ListedServer>> listener;
    private final EurekaRegistry registry = new EurekaRegistry();
    private boolean fullListReceived;
    private boolean reachable = true;

    /** {@code listener} hears the whole list whenever it may have changed. */
    public EurekaClient(
            HlsConfig.Eureka config,
            Net net,
            Clock clock,
            TimerQueue deadlines,
            Consumer<List<ListedServer>> listener) {
        this.config = config;
        this.net = net;
        this.clock = clock;
        this.timers = deadlines;
        this.listener = listener;
    }

    public void start() {
        fetch(clock.now());
    }

    private void fetch(long due) {
        boolean delta = fullListReceived;
        TimerQueue.Timer[] late = {null};
        HttpFetch f = HttpFetch.get(
                net,
                config.address(),
                config.path() + (delta ? "/apps/delta" : "/apps"),
                Map.of("Accept", "application/json"),
                CONNECT_TIMEOUT_MS,
                MAX_RESPONSE_BYTES,
                new HttpFetch.Listener() {
                    @Override
                    public void onResponse(HttpStyleMessage answer) {
                        timers.cancel(late[0]);
                        listReceived(delta, answer);
                    }

                    @Override
                    public void onFailure(boolean ran, String why) {
                        timers.cancel(late[0]);
                        fetchFailed(why);
                    }
                });
        late[0] = timers.schedule(clock.now() + RESPONSE_TIMEOUT_US, t -> {
            f.cancel();
            fetchFailed("no answer in time");
        });
    }

    private void listReceived(boolean delta, HttpStyleMessage answer) {
        try {
            if (answer.status() != 200) {
                throw new EurekaRegistry.UnusableAnswerException("status " + answer.status());
            }
            if (delta) {
                registry.applyDelta(answer.bodyText());
            } else {
                registry.applyFull(answer.bodyText());
            }
            listener.accept(registry.servers(config.app()));
            if (!fullListReceived || !reachable) {
                LOG.info("Eureka's list taken: whole={}", !delta);
            }
            fullListReceived = true;
            reachable = true;
            scheduleNext();
        } catch (EurekaRegistry.UnusableAnswerException e) {
            LOG.warn("Eureka's answer does not fit: delta={} why={}", delta, e.getMessage());
            fullListReceived = false;
            if (delta) {
                fetch(clock.now()); // all of it, at once
            } else {
                scheduleNext();
            }
        }
    }

    /** The last list stands. */
    private void fetchFailed(String why) {
        if (reachable) {
            LOG.warn("Eureka out of reach, the last list stands: why={}", why);
        }
        reachable = false;
        scheduleNext();
    }

    private void scheduleNext() {
        timers.schedule(clock.now() + config.pollInterval(), this::fetch);
    }
}
