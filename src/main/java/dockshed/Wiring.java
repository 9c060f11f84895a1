package dockshed;

import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.Director.State;
import dockshed.choice.Choice;
import dockshed.config.Config;
import dockshed.config.HlsConfig;
import dockshed.config.JsonFields;
import dockshed.config.OperatorConfig;
import dockshed.config.RolloutConfig;
import dockshed.config.RolloutDocument;
import dockshed.core.Broker;
import dockshed.core.ProbeCoordinator;
import dockshed.core.TimerQueue;
import dockshed.edge.EdgeServerConnections;
import dockshed.eureka.EurekaClient;
import dockshed.fleet.AdmissionFilter;
import dockshed.fleet.FleetHealthProber;
import dockshed.fleet.FleetHost;
import dockshed.fleet.LocalEvent;
import dockshed.hls.HlsEdgeServers;
import dockshed.hls.HlsFront;
import dockshed.load.LoadReporter;
import dockshed.names.DnsDiscovery;
import dockshed.names.ListedServer;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import dockshed.net.Signals;
import dockshed.peers.UdpPeers;
import dockshed.rollout.RolloutSettings;
import dockshed.rollout.VoteStorage.StorageException;
import dockshed.rollout.host.FileVoteStorage;
import dockshed.rollout.host.RolloutHost;
import dockshed.rtsp.RtspFront;
import dockshed.storm.RetryStormFilter;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates the components of the broker and connects them. It contains no logic of its own. */
final class Wiring {
    private static final Logger LOG = LoggerFactory.getLogger(Wiring.class);

    /** Combined with the configured seed, so that no two components draw the same random numbers. */
    private static final long STORM_SEED = 0x73746f726dL;

    private static final long FLEET_SEED = 0x666c656574L;
    private static final long ROLLOUT_SEED = 0x726f6c6cL;

    private final Config config;
    private final Net net;
    private final LoopClock clock;
    private final TimerQueue timers;
    private final UdpPeers peers;
    private final FleetHost fleet; // null: disabled
    private final RolloutConfig rolloutConfig; // null: disabled
    private final RolloutHost rolloutHost; // null: disabled
    private final Broker broker;
    private final EdgeServerConnections edgeConnections;
    private final RtspFront rtspFront;
    private final Map<String, Long> startTimes = new HashMap<>();
    private DnsDiscovery discovery;
    private LoadReporter loadReporter;
    private HlsEdgeServers hlsEdgeServers;
    private HlsFront hlsFront;
    private Map<String, ListedServer> hlsServers = Map.of();
    private ListScope hlsServersScope;

    private Wiring(Config config, OperatorConfig operator, Net net) {
        this.config = config;
        this.net = net;
        clock = new LoopClock(net.loop());
        timers = new TimerQueue(clock::wakeAt);
        peers = new UdpPeers(config.peers(), config.allPeersAddress());
        Director.Settings settings = config.settings();
        fleet = operator.fleet() == null || !config.fleetPossible()
                ? null
                : new FleetHost(
                        operator.fleet(), settings.brokerNumber(), config.peers(), clock, config.seed() ^ FLEET_SEED);
        rolloutConfig = operator.rollout();
        rolloutHost = fleet == null || rolloutConfig == null ? null : createRolloutHost(settings.brokerNumber());
        // Events pass from the broker through the fleet's admission filter and the retry-storm filter to the module.
        Function<Director.Actions, Director> module = actions -> new Choice(settings, config.seed(), actions);
        Function<Director.Actions, Director> stormFiltered = operator.storm() == null
                ? module
                : RetryStormFilter.before(settings, operator.storm(), config.seed() ^ STORM_SEED, module);
        AdmissionFilter[] admission = new AdmissionFilter[1];
        broker = new Broker(
                settings,
                fleet == null
                        ? stormFiltered
                        : actions -> {
                            admission[0] = AdmissionFilter.before(
                                            settings, fleet::snapshot, fleet::offer, stormFiltered)
                                    .apply(actions);
                            return admission[0];
                        },
                fleet == null ? peers : fleet,
                timers);
        clock.onWakeUp(broker::runDueTimers);
        edgeConnections = new EdgeServerConnections(
                broker,
                net,
                clock,
                timers,
                new EdgeServerConnections.Options(
                        settings.limits().connectTimeout(),
                        config.idleTimeout(),
                        settings.limits().reportInterval(),
                        settings.limits().reportDelay(),
                        config.reportFields(),
                        config.maxEdgeConnections()),
                fleet == null || !operator.fleet().healthProbes()
                        ? ProbeCoordinator.STANDALONE
                        : new FleetHealthProber(
                                settings.brokerNumber(), fleet::snapshot, fleet::offer, admission[0]::avoid));
        rtspFront = new RtspFront(broker, edgeConnections, clock, timers, config.maxViewers(), net.inputLimits());
    }

    /** Creates the rollout of shared configurations; IllegalStateException if its state cannot be read. */
    private RolloutHost createRolloutHost(int brokerNumber) {
        try {
            RolloutHost host = new RolloutHost(
                    new RolloutSettings(brokerNumber, config.peers().size(), rolloutConfig.voters()),
                    clock.now(),
                    config.seed() ^ ROLLOUT_SEED ^ clock.now(), // differs after each restart
                    fleet::sendExtension,
                    new FileVoteStorage(rolloutConfig.stateDirectory(), brokerNumber),
                    document -> net.loop().execute(() -> apply(document)));
            fleet.setExtension(host);
            return host;
        } catch (StorageException e) {
            throw new IllegalStateException("rollout: " + e.getMessage(), e);
        }
    }

    /**
     * Starts serving.
     *
     * @param hls null: HLS is disabled
     * @return the address that RTSP viewers can connect to
     * @throws IllegalStateException if a component cannot start, such as the rollout without its state
     */
    static SocketAddress start(Config config, HlsConfig hls, OperatorConfig operator) {
        Net net = new Net();
        Wiring wiring = net.callOnLoop(
                () -> { // on the loop's thread, which alone may touch the state
                    Wiring created = new Wiring(config, operator, net);
                    created.startDiscovery();
                    if (hls != null) {
                        created.startHls(hls);
                    }
                    return created;
                });
        if (wiring.fleet != null) {
            wiring.fleet.start(config.peerListen());
            LOG.info(
                    "fleet enabled: me={} of={} {}",
                    config.settings().brokerNumber(),
                    config.peers().size(),
                    operator.fleet());
        } else if (operator.fleet() != null) {
            LOG.warn("fleet disabled: why=settings forbid messages between brokers or name no peers");
        }
        if (wiring.rolloutHost != null) {
            LOG.info("rollout enabled: {}", operator.rollout());
        } else if (operator.rollout() != null) {
            LOG.warn("rollout disabled: why=it requires the fleet section");
        }
        if (config.peerListen() != null && wiring.fleet == null) {
            wiring.peers.listen(
                    wiring.net,
                    config.peerListen(),
                    (from, message) -> wiring.broker.peerMessageReceived(wiring.clock.now(), from, message));
        }
        SocketAddress rtspAddress = wiring.net
                .listen(config.listen(), wiring.rtspFront::accept, wiring.edgeConnections::closeIdleConnection, true)
                .syncUninterruptibly()
                .channel()
                .localAddress();
        if (hls != null) {
            SocketAddress hlsAddress = wiring.net
                    .listen(hls.listen(), wiring.hlsFront::accept, wiring.edgeConnections::closeIdleConnection, false)
                    .syncUninterruptibly()
                    .channel()
                    .localAddress();
            LOG.info(
                    "serving HLS: listen={} servers={} eureka={}",
                    hlsAddress,
                    hls.servers().size(),
                    hls.eureka() == null ? "none" : hls.eureka().address());
        }
        if (operator.storm() != null) {
            LOG.info("storm protection enabled: {}", operator.storm());
        }
        Signals.onHangUp(wiring::reload);
        long longestDeadline = config.settings().classes().stream()
                .mapToLong(Director.SessionClass::deadline)
                .max()
                .orElse(0);
        new Signals(wiring.net, wiring.clock, wiring.timers, wiring.broker, longestDeadline).installShutdownHook(() -> {
            if (wiring.fleet != null) {
                wiring.fleet.offer(new LocalEvent.Leaving());
            }
        });
        LOG.info(
                "serving: name={} listen={} servers={} peers={}",
                config.name(),
                rtspAddress,
                wiring.startTimes.size(),
                config.peers().size());
        return rtspAddress;
    }

    /** Applies the configured server lists, the first as last known before the start, then asks the name server. */
    private void startDiscovery() {
        discovery = new DnsDiscovery(this::serversChanged, clock, timers, config.nameServer(), config.seed());
        boolean first = true;
        for (Config.ServerListNotice notice : config.knownServers()) {
            discovery.applyConfigured(notice.number(), Config.scope(notice, first), notice.servers());
            first = false;
        }
        if (config.nameServer() != null) {
            discovery.start(net, new InetSocketAddress(config.listen().getAddress(), 0));
        }
    }

    /** Handles SIGHUP: proposes the operator's document if the rollout is enabled, else reloads the configuration. */
    private void reload() {
        if (rolloutHost == null) {
            reloadNameServer();
        } else if (rolloutConfig.file() == null) {
            LOG.error(
                    "configuration rejected, the previous one stays active: why=section rollout: file: expected the path"
                            + " of a file, got nothing");
        } else {
            rolloutHost.propose(rolloutConfig.file());
        }
    }

    /** Reloads the configuration. Only the name server's address can change while the program runs. */
    private void reloadNameServer() {
        try {
            InetSocketAddress address = Config.load(System.getenv()).nameServer();
            if (address == null) {
                throw new JsonFields.InvalidInputException("config: member 'names' is missing");
            }
            net.loop().execute(() -> changeNameServer(address));
        } catch (RuntimeException e) { // a faulty file must not affect the configuration in use
            LOG.error("configuration rejected, the previous one stays active: why={}", e.getMessage());
        }
    }

    /** Applies a document that all brokers share. Called on the loop. */
    private void apply(RolloutDocument document) {
        if (document.nameServer() != null) {
            changeNameServer(document.nameServer());
        }
    }

    private void changeNameServer(InetSocketAddress address) {
        if (config.nameServer() == null) {
            LOG.warn("name server not changed: why=none was configured at the start");
            return;
        }
        discovery.changeServer(address);
        LOG.info("configuration reloaded: names={}", address);
    }

    private void startHls(HlsConfig hls) {
        Director.Settings settings = config.settings();
        hls.warnings(settings).forEach(warning -> LOG.warn("questionable setting: {}", warning));
        loadReporter = new LoadReporter(broker, timers, settings);
        hlsEdgeServers = new HlsEdgeServers(
                broker, net, clock, Math.max(100, (int) (settings.limits().connectTimeout() / 1000)), loadReporter);
        hlsFront = new HlsFront(
                broker,
                hlsEdgeServers,
                clock,
                timers,
                settings,
                hls.idleTimeout(),
                config.maxSockets() / 6,
                net.inputLimits(),
                config.seed() ^ 0x5eed);
        if (!hls.servers().isEmpty()) {
            hlsServersChanged(ListScope.DISK, hls.servers());
        }
        if (hls.eureka() != null) {
            new EurekaClient(hls.eureka(), net, clock, timers, list -> hlsServersChanged(ListScope.SNAPSHOT, list))
                    .start();
        }
    }

    /**
     * Passes a list of HLS edge servers to the components that use it, and reports those that have gone or restarted.
     */
    private void hlsServersChanged(ListScope scope, List<ListedServer> list) {
        Map<String, ListedServer> current = new LinkedHashMap<>();
        list.forEach(listed -> current.put(listed.server().id(), listed));
        if (current.equals(hlsServers) && scope == hlsServersScope) {
            return;
        }
        hlsServersScope = scope;
        Map<String, ListedServer> previous = hlsServers;
        hlsServers = current;
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        current.forEach((id, listed) -> addresses.put(id, listed.address()));
        hlsEdgeServers.setAddresses(addresses);
        List<Server> servers =
                current.values().stream().map(ListedServer::server).toList();
        loadReporter.updateServers(servers);
        broker.serversChanged(clock.now(), "eureka", scope, servers);
        previous.forEach((id, old) -> {
            ListedServer latest = current.get(id);
            if (latest == null || latest.server().upSince() > old.server().upSince()) {
                broker.serverLost(
                        clock.now(),
                        hlsEdgeServers,
                        id,
                        latest == null ? clock.now() : latest.server().upSince());
            }
        });
    }

    /** Passes an update of the edge servers from the name server to the components that use it. */
    private void serversChanged(ListScope scope, List<Server> servers, Map<String, InetSocketAddress> addresses) {
        edgeConnections.updateAddresses(addresses);
        broker.serversChanged(clock.now(), "names", scope, servers);
        for (Server server : servers) {
            Long previousStart = startTimes.put(server.id(), server.upSince());
            if (server.state() == State.GONE) {
                startTimes.remove(server.id());
                edgeConnections.serverRemoved(server.id());
            } else if (previousStart != null && server.upSince() > previousStart) {
                edgeConnections.serverRestarted(server.id(), server.upSince());
            }
        }
    }
}
