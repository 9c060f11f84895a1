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

/** All known edge servers and their racks, with the configured rates of their links. */
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
     * Creates an empty list.
     *
     * @param uplinkOverestimate factor on the configured rate of an uplink for its first estimate
     * @param randomDraws random numbers from 0 to 1, one for each reading of a link
     */
    public EdgeServers(Settings settings, double uplinkOverestimate, DoubleSupplier randomDraws) {
        this.settings = settings;
        this.uplinkOverestimate = uplinkOverestimate;
        this.randomDraws = randomDraws;
        racks = Stream.generate(Rack::new).limit(settings.ladder().racks()).toList();
        uplinksReported = uplinksReported(settings);
    }

    /** Whether load reports contain the load of uplinks under these settings. */
    public static boolean uplinksReported(Settings settings) {
        return settings.reportFields().contains(ReportField.UPLINK);
    }

    /** Whether the load of uplinks is reported. */
    public boolean uplinksReported() {
        return uplinksReported;
    }

    /** The server, or null if it is not known. */
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

    /** Servers that the list has as up. */
    public List<EdgeServer> listed() {
        return listed;
    }

    /** Sum of the configured rates of all links in kB/s. */
    public double linksKb() {
        return linksKb;
    }

    /** Applies an update of the server list. */
    public void update(long now, ListScope scope, List<Server> entries) {
        for (EdgeServer server : byId.values()) {
            server.absentFromList(scope != ListScope.CHANGES); // unless it is named below
            if (scope != ListScope.DISK && server.presumedCold()) {
                server.startedAsListed(); // an update names every server changed since the stored list
            }
        }
        for (Server entry : entries) {
            updateServer(now, scope, entry);
        }
        listed = byId.values().stream().filter(EdgeServer::listed).toList();
        updateCapacity();
    }

    private void updateServer(long now, ListScope scope, Server entry) {
        EdgeServer server = byId.computeIfAbsent(entry.id(), id -> new EdgeServer(settings.rules()));
        boolean isNew = server.listing() == null;
        boolean restarted = !isNew && entry.upSince() > server.listing().upSince();
        server.presentInList(entry);
        if (scope == ListScope.DISK) {
            server.presumeCold(now); // may have restarted since the list was stored
        } else if (isNew || restarted) {
            server.startedAsListed();
            if (restarted) {
                server.forgetFailures();
                server.recordReading(0, now, randomDraws.getAsDouble());
            }
        }
    }

    /** All servers have been running for long. */
    public void markAllWarm() {
        byId.values().forEach(EdgeServer::markWarm);
    }

    /** Multiplies the trust in all readings by a factor. */
    public void decayTrust(double factor) {
        byId.values().forEach(server -> server.load().decayTrust(factor));
        racks.forEach(rack -> rack.load().decayTrust(factor));
    }

    /** Removes servers that have left the list and have no session of this broker. */
    public void removeGone() {
        if (byId.values().removeIf(server -> server.gone() && server.idle())) {
            updateCapacity();
        }
    }

    /** Sets the configured rates of all links: by weight, or by streams where all weights are equal. */
    private void updateCapacity() {
        boolean equalWeights = byId.values().stream()
                        .mapToDouble(server -> server.listing().weight())
                        .distinct()
                        .count()
                < 2;
        double streams = 0;
        for (EdgeServer server : byId.values()) {
            server.setStreams(settings.streams(server.listing().kind()));
            streams += server.streams();
        }
        linksKb = 0;
        racks.forEach(Rack::clear);
        for (EdgeServer server : byId.values()) {
            double rateKb = settings.ladder().weightKb() * server.listing().weight();
            server.setConfiguredKb(Math.max(
                    1, equalWeights && streams > 0 ? rateKb * server.streams() * byId.size() / streams : rateKb));
            server.setRack(racks.get(Math.floorMod(server.listing().cell(), racks.size())));
            linksKb += server.configuredKb();
        }
        racks.forEach(this::updateCapacity);
    }

    /** Sets a rack's uplink by its share of all links, once: it stays as it is when servers are added or removed. */
    private void updateCapacity(Rack rack) {
        if (rack.configuredKb() > 0 || rack.servers().isEmpty()) {
            return;
        }
        double share =
                rack.servers().stream().mapToDouble(EdgeServer::configuredKb).sum() / linksKb;
        rack.setInitialUplink(settings.ladder().uplinkKb() * racks.size() * share * uplinkOverestimate);
    }
}
