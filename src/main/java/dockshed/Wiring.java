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

/** Puts the parts together; nothing is decided here. */
final class Wiring {
    private static final Logger LOG = LoggerFactory.getLogger(Wiring.class);

    /** The parts' random numbers must not be one another's. */
    private static final long STORM_SEED = 0x73746f726dL;

    private static final long FLEET_SEED = 0x666c656574L;
    private static final long ROLLOUT_SEED = 0x726f6c6cL;

    private final Config config;
    private final Net net;
    private final LoopClock clock;
    private final TimerQueue deadlines;
    private final UdpPeers peers;
    private final FleetHost fleet; // null: off
    private final RolloutConfig rolloutConfig; // null: off
    private final RolloutHost rollout; // null: off
    private final Broker broker;
    private final EdgeServerConnections edges;
    private final RtspFront rtsp;
    private final Map<String, Long> upSince = new HashMap<>();
    private DnsDiscovery names;
    private LoadReporter loads;
    private HlsEdgeServers origins;
    private HlsFront hlsFront;
    private Map<String, ListedServer> boxes = Map.of();
    private ListScope last;

    private Wiring(Config config, OperatorConfig operator, Net net) {
        this.config = config;
        this.net = net;
        clock = new LoopClock(net.loop());
        deadlines = new TimerQueue(clock::wakeAt);
        peers = new UdpPeers(config.peers(), config.allPeersAddress());
        Director.Settings s = config.settings();
        fleet = operator.fleet() == null || !config.fleetPossible()
                ? null
                : new FleetHost(operator.fleet(), s.brokerNumber(), config.peers(), clock, config.seed() ^ FLEET_SEED);
        rolloutConfig = operator.rollout();
        rollout = fleet == null || rolloutConfig == null ? null : rollout(s.brokerNumber());
        // From the broker inwards: the fleet's admission filter, the storm part, the module.
        Function<Director.Actions, Director> module = actions -> new Choice(s, config.seed(), actions);
        Function<Director.Actions, Director> damped = operator.storm() == null
                ? module
                : RetryStormFilter.before(s, operator.storm(), config.seed() ^ STORM_SEED, module);
        AdmissionFilter[] admission = new AdmissionFilter[1];
        broker = new Broker(
                s,
                fleet == null
                        ? damped
                        : actions -> {
                            admission[0] = AdmissionFilter.before(s, fleet::snapshot, fleet::offer, damped)
                                    .apply(actions);
                            return admission[0];
                        },
                fleet == null ? peers : fleet,
                deadlines);
        clock.onWakeUp(broker::runDueTimers);
        edges = new EdgeServerConnections(
                broker,
                net,
                clock,
                deadlines,
                new EdgeServerConnections.Options(
                        s.limits().connectTimeout(),
                        config.idleTimeout(),
                        s.limits().reportInterval(),
                        s.limits().reportDelay(),
                        config.reportFields(),
                        config.maxEdgeConnections()),
                fleet == null || !operator.fleet().healthProbes()
                        ? ProbeCoordinator.STANDALONE
                        : new FleetHealthProber(s.brokerNumber(), fleet::snapshot, fleet::offer, admission[0]::avoid));
        rtsp = new RtspFront(broker, edges, clock, deadlines, config.maxViewers());
    }

    private RolloutHost rollout(int me) {
        try {
            RolloutHost host = new RolloutHost(
                    new RolloutSettings(me, config.peers().size(), rolloutConfig.voters()),
                    clock.now(),
                    config.seed() ^ ROLLOUT_SEED ^ clock.now(), // of each life its own
                    fleet::sendExtension,
                    new FileVoteStorage(rolloutConfig.stateDirectory(), me),
                    document -> net.loop().execute(() -> apply(document)));
            fleet.setExtension(host);
            return host;
        } catch (StorageException e) {
            throw new IllegalStateException("rollout: " + e.getMessage(), e);
        }
    }

    /** Begins to serve; returns where viewers can connect. Throws IllegalStateException where it cannot. */
    static SocketAddress start(Config config, HlsConfig hls, OperatorConfig operator) {
        Net net = new Net();
        Wiring w = net.callOnLoop(
                () -> { // all state belongs to the loop's thread from its first moment
                    Wiring made = new Wiring(config, operator, net);
                    made.lists();
                    if (hls != null) {
                        made.hls(hls);
                    }
                    return made;
                });
        if (w.fleet != null) {
            w.fleet.start(config.peerListen());
            LOG.info(
                    "fleet part on: me={} of={} {}",
                    config.settings().brokerNumber(),
                    config.peers().size(),
                    operator.fleet());
        } else if (operator.fleet() != null) {
            LOG.warn("fleet part off: the settings allow no talk among brokers, or name no peers");
        }
        if (w.rollout != null) {
            LOG.info("rollout part on: {}", operator.rollout());
        } else if (operator.rollout() != null) {
            LOG.warn("rollout part off: it needs the fleet part");
        }
        if (config.peerListen() != null && w.fleet == null) {
            w.peers.listen(
                    w.net,
                    config.peerListen(),
                    (from, message) -> w.broker.peerMessageReceived(w.clock.now(), from, message));
        }
        SocketAddress rtspAt = w.net.listen(config.listen(), w.rtsp::accept, w.edges::closeIdleConnection, true)
                .syncUninterruptibly()
                .channel()
                .localAddress();
        if (hls != null) {
            SocketAddress at = w.net.listen(hls.listen(), w.hlsFront::accept, w.edges::closeIdleConnection, false)
                    .syncUninterruptibly()
                    .channel()
                    .localAddress();
            LOG.info(
                    "serving HLS: listen={} servers={} eureka={}",
                    at,
                    hls.servers().size(),
                    hls.eureka() == null ? "none" : hls.eureka().address());
        }
        if (operator.storm() != null) {
            LOG.info("storm part on: {}", operator.storm());
        }
        Signals.onHangUp(w::reload);
        long longest = config.settings().classes().stream()
                .mapToLong(Director.SessionClass::deadline)
                .max()
                .orElse(0);
        new Signals(w.net, w.clock, w.deadlines, w.broker, longest).installShutdownHook(() -> {
            if (w.fleet != null) {
                w.fleet.offer(new LocalEvent.Leaving());
            }
        });
        LOG.info(
                "serving: name={} listen={} servers={} peers={}",
                config.name(),
                rtspAt,
                w.upSince.size(),
                config.peers().size());
        return rtspAt;
    }

    private void lists() {
        names = new DnsDiscovery(this::news, clock, deadlines, config.nameServer(), config.seed());
        boolean first = true;
        for (Config.ServerListNotice notice : config.knownServers()) {
            names.applyConfigured(notice.number(), Config.scope(notice, first), notice.servers());
            first = false;
        }
        if (config.nameServer() != null) {
            names.start(net, new InetSocketAddress(config.listen().getAddress(), 0));
        }
    }

    /** A SIGHUP: proposes the operator's document where that part is on; else reads the configuration again. */
    private void reload() {
        if (rollout == null) {
            readAgain();
        } else if (rolloutConfig.file() == null) {
            LOG.error(
                    "configuration rejected, the previous one stays active: why=section rollout: file: expected the path"
                            + " of a file, got nothing");
        } else {
            rollout.propose(rolloutConfig.file());
        }
    }

    /** Reads the configuration again. Of it only the name server's address may change while the program runs. */
    private void readAgain() {
        try {
            InetSocketAddress to = Config.load(System.getenv()).nameServer();
            if (to == null) {
                throw new JsonFields.InvalidInputException("config: member 'names' is missing");
            }
            net.loop().execute(() -> moveNames(to));
        } catch (RuntimeException e) { // whatever is wrong with the file, what is in force stays
            LOG.error("configuration rejected, the previous one stays active: why={}", e.getMessage());
        }
    }

    /** Puts a document in force that all brokers share; on the loop. */
    private void apply(RolloutDocument document) {
        if (document.nameServer() != null) {
            moveNames(document.nameServer());
        }
    }

    private void moveNames(InetSocketAddress to) {
        if (config.nameServer() == null) {
            LOG.warn("name server's address not taken: there was no name server at the start");
            return;
        }
        names.changeServer(to);
        LOG.info("configuration read again: names={}", to);
    }

    private void hls(HlsConfig hls) {
        Director.Settings s = config.settings();
        hls.warnings(s).forEach(doubt -> LOG.warn("doubtful setting, taken as it is: {}", doubt));
        loads = new LoadReporter(broker, deadlines, s);
        origins = new HlsEdgeServers(
                broker, net, clock, Math.max(100, (int) (s.limits().connectTimeout() / 1000)), loads);
        hlsFront = new HlsFront(
                broker,
                origins,
                clock,
                deadlines,
                s,
                hls.idleTimeout(),
                config.maxSockets() / 6,
                config.seed() ^ 0x5eed);
        if (!hls.servers().isEmpty()) {
            boxes(ListScope.DISK, hls.servers());
        }
        if (hls.eureka() != null) {
            new EurekaClient(hls.eureka(), net, clock, deadlines, list -> boxes(ListScope.SNAPSHOT, list)).start();
        }
    }

    /** The lesson boxes as HLS servers. */
    private void boxes(ListScope scope, List<ListedServer> list) {
        Map<String, ListedServer> now = new LinkedHashMap<>();
        list.forEach(l -> now.put(l.server().id(), l));
        if (now.equals(boxes) && scope == last) {
            return;
        }
        last = scope;
        Map<String, ListedServer> before = boxes;
        boxes = now;
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        now.forEach((id, l) -> addresses.put(id, l.address()));
        origins.setAddresses(addresses);
        List<Server> servers = now.values().stream().map(ListedServer::server).toList();
        loads.updateServers(servers);
        broker.serversChanged(clock.now(), "eureka", scope, servers);
        before.forEach((id, was) -> {
            ListedServer is = now.get(id);
            if (is == null || is.server().upSince() > was.server().upSince()) {
                broker.serverLost(
                        clock.now(),
                        origins,
                        id,
                        is == null ? clock.now() : is.server().upSince());
            }
        });
    }

    private void news(ListScope scope, List<Server> servers, Map<String, InetSocketAddress> addresses) {
        edges.updateAddresses(addresses);
        broker.serversChanged(clock.now(), "names", scope, servers);
        for (Server s : servers) {
            Long before = upSince.put(s.id(), s.upSince());
            if (s.state() == State.GONE) {
                upSince.remove(s.id());
                edges.serverRemoved(s.id());
            } else if (before != null && s.upSince() > before) {
                edges.serverRestarted(s.id(), s.upSince());
            }
        }
    }
}
