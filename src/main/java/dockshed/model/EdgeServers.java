package dockshed.model;

import dockshed.Director.ListScope;
import dockshed.Director.ReportField;
import dockshed.Director.Server;
import dockshed.Director.Settings;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;

/** The list of edge servers and their racks, and what their links are told to give. */
public final class EdgeServers {
    private final Settings settings;
    private final double uplinkOverestimate;
    private final DoubleSupplier randomDraws;
    private final List<Rack> racks;
    private final boolean uplinksReported;
    private final Map<String, EdgeServer> byId = new LinkedHashMap<>();
    private List<EdgeServer> listed = List.of();
    private double linksKb;

    /**
     * No servers yet.
     *
     * @param uplinkHope what an uplink is first taken to give over what is told
     * @param draws random numbers from 0 to 1: one goes with each reading of a link
     */
    public EdgeServers(Settings settings, double uplinkHope, DoubleSupplier draws) {
        this.settings = settings;
        this.uplinkOverestimate = uplinkHope;
        this.randomDraws = draws;
        racks = Stream.generate(Rack::new).limit(settings.ladder().racks()).toList();
        uplinksReported = uplinksReported(settings);
    }

    /** Whether load reports tell of uplinks. */
    public static boolean uplinksReported(Settings settings) {
        return settings.reportFields().contains(ReportField.UPLINK);
    }

    /** Whether readings of uplinks come. */
    public boolean uplinksReported() {
        return uplinksReported;
    }

    /** The server, or null. */
    public EdgeServer get(String id) {
        return byId.get(id);
    }

    /** All servers known, in the order in which they were first named. */
    public Collection<EdgeServer> all() {
        return Collections.unmodifiableCollection(byId.values());
    }

    /** All racks. */
    public List<Rack> racks() {
        return racks;
    }

    /** Those that are up, by the list. */
    public List<EdgeServer> listed() {
        return listed;
    }

    /** All links as told. */
    public double linksKb() {
        return linksKb;
    }

    /** News of the list. */
    public void update(long now, ListScope scope, List<Server> news) {
        for (EdgeServer server : byId.values()) {
            server.absentFromList(scope != ListScope.CHANGES); // unless it is named below
            if (scope != ListScope.DISK && server.presumedCold()) {
                server.startedAsListed(); // fresh news names all that changed since the list was kept
            }
        }
        for (Server entry : news) {
            updateServer(now, scope, entry);
        }
        listed = byId.values().stream().filter(EdgeServer::listed).toList();
        updateCapacity();
    }

    private void updateServer(long now, ListScope scope, Server entry) {
        EdgeServer server = byId.computeIfAbsent(entry.id(), id -> new EdgeServer(settings.rules()));
        boolean isNew = server.info() == null;
        boolean restarted = !isNew && entry.upSince() > server.info().upSince();
        server.presentInList(entry);
        if (scope == ListScope.DISK) {
            server.presumeCold(now); // may have restarted since the list was kept
        } else if (isNew || restarted) {
            server.startedAsListed();
            if (restarted) {
                server.forgetFailures();
                server.recordReading(0, now, randomDraws.getAsDouble());
            }
        }
    }

    /** All has been running for long. */
    public void markAllWarm() {
        byId.values().forEach(EdgeServer::markWarm);
    }

    /** Lowers the trust in all readings. */
    public void decayTrust(double factor) {
        byId.values().forEach(server -> server.load().decayTrust(factor));
        racks.forEach(rack -> rack.load().decayTrust(factor));
    }

    /** Forgets servers that have left the list and have no session here. */
    public void removeGone() {
        if (byId.values().removeIf(server -> server.gone() && server.idle())) {
            updateCapacity();
        }
    }

    /** Links as told: by weight, or by streams where all weights are alike. */
    private void updateCapacity() {
        boolean alike = byId.values().stream()
                        .mapToDouble(server -> server.info().weight())
                        .distinct()
                        .count()
                < 2;
        double streams = 0;
        for (EdgeServer server : byId.values()) {
            server.setStreams(settings.streams(server.info().kind()));
            streams += server.streams();
        }
        linksKb = 0;
        racks.forEach(Rack::clear);
        for (EdgeServer server : byId.values()) {
            double unit = settings.ladder().weightKb() * server.info().weight();
            server.setConfiguredKb(
                    Math.max(1, alike && streams > 0 ? unit * server.streams() * byId.size() / streams : unit));
            server.setRack(racks.get(Math.floorMod(server.info().cell(), racks.size())));
            linksKb += server.configuredKb();
        }
        racks.forEach(this::updateCapacity);
    }

    /** Uplinks as told, by the links behind them; they stay as they are when servers come and go. */
    private void updateCapacity(Rack rack) {
        if (rack.configuredKb() > 0 || rack.servers().isEmpty()) {
            return;
        }
        double part =
                rack.servers().stream().mapToDouble(EdgeServer::configuredKb).sum() / linksKb;
        rack.setInitialUplink(settings.ladder().uplinkKb() * racks.size() * part * uplinkOverestimate);
    }
}
