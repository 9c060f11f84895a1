package dockshed.fleet;

import dockshed.fleet.FleetSnapshot.ScopeStatus;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/** Reads internal state of nodes and hosts for measurements. */
public final class FleetInspection {
    private static final long READ_TIMEOUT_SECONDS = 10;
    private static final long UNKNOWN_THREAD = -1;

    private FleetInspection() {}

    /** The id of the thread that runs a host's loop; -1 if the loop does not answer in time. */
    public static long loopThreadId(FleetHost host) {
        return read(host, node -> Thread.currentThread().getId(), UNKNOWN_THREAD);
    }

    /** Whether a snapshot holds a broker's report on that server. */
    public static boolean hasHealthReport(FleetSnapshot snapshot, int server, int owner) {
        for (VersionedEntry report : snapshot.healthReports().getOrDefault(server, List.of())) {
            if (report.owner() == owner) {
                return true;
            }
        }
        return false;
    }

    /**
     * Ages of the figures that brokers hold of one another, in milliseconds. A figure that a broker should hold but
     * does not is counted as missing, with the time since the broker's start as its age.
     */
    public static final class Ages {
        private static final int DIGITS = 2;

        private final Histogram ownScope = new Histogram(DIGITS);
        private final Histogram otherScopes = new Histogram(DIGITS);
        private long missing;

        /** Ages of the figures of each broker that the holder lists. */
        public Histogram ownScope() {
            return ownScope;
        }

        /** Ages of the summaries of other scopes. */
        public Histogram otherScopes() {
            return otherScopes;
        }

        public long missing() {
            return missing;
        }

        public void addMissing(long more) {
            missing += more;
        }
    }

    /** Adds the ages of the figures that a host holds of the others. */
    public static void recordFigureAges(FleetHost host, long startedMillis, Ages ages) {
        read(
                host,
                node -> {
                    recordFigureAges(node, System.currentTimeMillis() * 1000, startedMillis * 1000, ages);
                    return true;
                },
                false);
    }

    /** Adds the ages of the figures that a node holds; times are of the node's clock, in microseconds. */
    static void recordFigureAges(GossipNode node, long now, long started, Ages ages) {
        for (int broker : node.membership().presentMembers()) {
            if (broker == node.membership().me) {
                continue;
            }
            VersionedEntry figures = node.entries().get(broker, VersionedEntry.LOAD, 0);
            ages.addMissing(figures == null ? 1 : 0);
            long age = now - (figures == null ? started : figures.writtenAt());
            ages.ownScope().recordValue(Math.max(0, age / 1000));
        }
        for (ScopeStatus scope : node.snapshot(now).otherScopes()) {
            ages.addMissing(scope.isKnown() ? 0 : 1);
            ages.otherScopes().recordValue(Math.max(0, scope.age() / 1000));
        }
    }

    private static <T> T read(FleetHost host, Function<GossipNode, T> reading, T otherwise) {
        try {
            return host.inspect(reading).get(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
