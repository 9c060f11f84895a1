package dockshed.fleet;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/** What measurements read of the control part beyond its public face. */
public final class FleetReadings {
    private static final long PATIENCE_SECONDS = 10;
    private static final long UNKNOWN_THREAD = -1;

    private FleetReadings() {}

    /** The id of the thread that a host's loop runs on; -1 where it stands still. */
    public static long threadOf(FleetHost host) {
        return read(host, node -> Thread.currentThread().getId(), UNKNOWN_THREAD);
    }

    /** Whether a snapshot holds a broker's report on that server. */
    public static boolean knows(FleetSnapshot snapshot, int server, int owner) {
        for (VersionedEntry report : snapshot.healthReports().getOrDefault(server, List.of())) {
            if (report.owner() == owner) {
                return true;
            }
        }
        return false;
    }

    /** Adds the ages of the figures that a host holds of the others that it lists; returns how many are missing. */
    public static long figureAges(FleetHost host, long startedMillis, Histogram millis) {
        return read(
                host,
                node -> {
                    long now = System.currentTimeMillis() * 1000;
                    return figureAges(node, host.snapshot().presentBrokers(), now, startedMillis * 1000, millis);
                },
                0L);
    }

    /** The same of a node; times are of the node's clock, in microseconds. */
    static long figureAges(GossipNode node, List<Integer> listed, long now, long started, Histogram millis) {
        long missing = 0;
        for (int broker : listed) {
            if (broker == node.membership().me) {
                continue;
            }
            VersionedEntry figures = node.entries().get(broker, VersionedEntry.LOAD, 0);
            missing += figures == null ? 1 : 0;
            long age = now - (figures == null ? started : figures.writtenAt());
            millis.recordValue(Math.max(0, age / 1000));
        }
        return missing;
    }

    private static <T> T read(FleetHost host, Function<GossipNode, T> reading, T otherwise) {
        try {
            return host.inspect(reading).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            return otherwise;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return otherwise;
        }
    }
}
