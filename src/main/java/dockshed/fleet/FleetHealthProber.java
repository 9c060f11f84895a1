package dockshed.fleet;

import dockshed.core.ProbeCoordinator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Health probing in turns by {@link HealthProbeSchedule}; without a fresh, steady snapshot this broker probes by
 * itself.
 */
public final class FleetHealthProber implements ProbeCoordinator {
    private final int me;
    private final Supplier<FleetSnapshot> snapshots;
    private final Predicate<LocalEvent> events;
    private final BiConsumer<String, Boolean> avoid;

    /**
     * Creates the prober.
     *
     * @param me    this broker's number
     * @param avoid notified with a server's id and whether it is suspect, so that set-ups go elsewhere meanwhile
     */
    public FleetHealthProber(
            int me,
            Supplier<FleetSnapshot> snapshots,
            Predicate<LocalEvent> events,
            BiConsumer<String, Boolean> avoid) {
        this.me = me;
        this.snapshots = snapshots;
        this.events = events;
        this.avoid = avoid;
    }

    @Override
    public Verdict decide(long now, String server, Suspicion suspicion) {
        FleetSnapshot fleet = snapshots.get();
        if (!fleet.isFresh(now) || !fleet.steady()) {
            return Verdict.TRY;
        }
        int hash = StableHash.of(server);
        List<VersionedEntry> reports = fleet.healthReports().getOrDefault(hash, List.of());
        return HealthProbeSchedule.verdict(now, me, fleet.presentBrokers(), hash, reports, suspicion);
    }

    @Override
    public void probeFinished(String server, boolean up) {
        events.test(new LocalEvent.HealthReport(StableHash.of(server), up));
    }

    @Override
    public void suspicionChanged(String server, boolean suspect) {
        avoid.accept(server, suspect);
    }
}
