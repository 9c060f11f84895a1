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
    private final double uplinkHope;
    private final DoubleSupplier draws;
    private final List<Rack> racks;
    private final boolean uplinksTold;
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
        this.uplinkHope = uplinkHope;
        this.draws = draws;
        racks = Stream.generate(Rack::new).limit(settings.ladder().racks()).toList();
        uplinksTold = uplinksTold(settings);
    }

    /** Whether load reports tell of uplinks. */
    public static boolean uplinksTold(Settings settings) {
        return settings.reportFields().contains(ReportField.UPLINK);
    }

    /** Whether readings of uplinks come. */
    public boolean uplinksTold() {
        return uplinksTold;
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
    public void members(long now, ListScope scope, List<Server> news) {
        for (EdgeServer server : byId.values()) {
            server.unnamed(scope != ListScope.CHANGES); // unless it is named below
            if (scope != ListScope.DISK && server.presumedCold()) {
                server.startedAsTold(); // fresh news names all that changed since the list was kept
            }
        }
        for (Server entry : news) {
            member(now, scope, entry);
        }
        listed = byId.values().stream().filter(EdgeServer::listed).toList();
        measure();
    }

    private void member(long now, ListScope scope, Server entry) {
        EdgeServer server = byId.computeIfAbsent(entry.id(), id -> new EdgeServer(settings.rules()));
        boolean isNew = server.info() == null;
        boolean restarted = !isNew && entry.upSince() > server.info().upSince();
        server.named(entry);
        if (scope == ListScope.DISK) {
            server.presumeCold(now); // may have restarted since the list was kept
        } else if (isNew || restarted) {
            server.startedAsTold();
            if (restarted) {
                server.forgetFailures();
                server.read(0, now, draws.getAsDouble());
            }
        }
    }

    /** All has been running for long. */
    public void allWarm() {
        byId.values().forEach(EdgeServer::startedLongAgo);
    }

    /** Lowers the trust in all readings. */
    public void decayTrust(double factor) {
        byId.values().forEach(server -> server.load().decayTrust(factor));
        racks.forEach(rack -> rack.load().decayTrust(factor));
    }

    /** Forgets servers that have left the list and have no session here. */
    public void forgetGone() {
        if (byId.values().removeIf(server -> server.gone() && server.idle())) {
            measure();
        }
    }

    /** Links as told: by weight, or by streams where all weights are alike. */
    private void measure() {
        boolean alike = byId.values().stream()
                        .mapToDouble(server -> server.info().weight())
                        .distinct()
                        .count()
                < 2;
        double streams = 0;
        for (EdgeServer server : byId.values()) {
            server.run(settings.streams(server.info().kind()));
            streams += server.streams();
        }
        linksKb = 0;
        racks.forEach(Rack::clear);
        for (EdgeServer server : byId.values()) {
            double unit = settings.ladder().weightKb() * server.info().weight();
            server.tell(Math.max(1, alike && streams > 0 ? unit * server.streams() * byId.size() / streams : unit));
            server.standIn(racks.get(Math.floorMod(server.info().cell(), racks.size())));
            linksKb += server.toldKb();
        }
        racks.forEach(this::measure);
    }

    /** Uplinks as told, by the links behind them; they stay as they are when servers come and go. */
    private void measure(Rack rack) {
        if (rack.toldKb() > 0 || rack.servers().isEmpty()) {
            return;
        }
        double part = rack.servers().stream().mapToDouble(EdgeServer::toldKb).sum() / linksKb;
        rack.startAt(settings.ladder().uplinkKb() * racks.size() * part * uplinkHope);
    }
}
