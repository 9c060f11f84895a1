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

/**
 * Polls a Eureka server for the list of edge servers: the full list first, then deltas, and the full list again where a
 * delta does not match its hash code. While Eureka is unreachable the last list stays in force.
 */
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

    /** {@code listener} receives the full list whenever it may have changed. */
    public EurekaClient(
            HlsConfig.Eureka config, Net net, Clock clock, TimerQueue timers, Consumer<List<ListedServer>> listener) {
        this.config = config;
        this.net = net;
        this.clock = clock;
        this.timers = timers;
        this.listener = listener;
    }

    /** Starts to poll. */
    public void start() {
        fetch(clock.now());
    }

    /** Requests a delta if there is a list to apply it to, otherwise the full list. */
    private void fetch(long due) {
        boolean delta = fullListReceived;
        HttpFetch request = HttpFetch.get(
                net,
                config.address(),
                config.path() + (delta ? "/apps/delta" : "/apps"),
                Map.of("Accept", "application/json"),
                CONNECT_TIMEOUT_MS,
                MAX_RESPONSE_BYTES,
                new HttpFetch.Listener() {
                    @Override
                    public void onResponse(HttpStyleMessage response) {
                        listReceived(delta, response);
                    }

                    @Override
                    public void onFailure(HttpFetch.Failure failure, String why) {
                        fetchFailed(why);
                    }
                });
        request.timeOutAt(timers, clock.now() + RESPONSE_TIMEOUT_US);
    }

    private void listReceived(boolean delta, HttpStyleMessage response) {
        try {
            if (response.status() != 200) {
                throw new EurekaRegistry.UnusableAnswerException("expected HTTP status 200, got " + response.status());
            }
            if (delta) {
                registry.applyDelta(response.bodyText());
            } else {
                registry.applyFull(response.bodyText());
            }
            listener.accept(registry.servers(config.app()));
            if (!fullListReceived || !reachable) {
                LOG.info("list received from Eureka: whole={}", !delta);
            }
            fullListReceived = true;
            reachable = true;
            scheduleNext();
        } catch (EurekaRegistry.UnusableAnswerException e) {
            LOG.warn("response from Eureka not usable: delta={} why={}", delta, e.getMessage());
            fullListReceived = false;
            if (delta) {
                fetch(clock.now()); // the full list, at once
            } else {
                scheduleNext();
            }
        }
    }

    /** Tries again at the next poll; the last list stays in force. */
    private void fetchFailed(String why) {
        if (reachable) {
            LOG.warn("Eureka unreachable, the last list stays in force: why={}", why);
        }
        reachable = false;
        scheduleNext();
    }

    private void scheduleNext() {
        timers.schedule(clock.now() + config.pollInterval(), this::fetch);
    }
}
