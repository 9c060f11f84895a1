package dockshed.choice;

import dockshed.Director.Settings;
import dockshed.model.EdgeServer;
import dockshed.model.EdgeServers;
import dockshed.model.Link;
import dockshed.model.Rack;
import dockshed.model.Session;
import dockshed.queueing.WeightedMean;
import java.util.Collection;

/** What is asked of links and uplinks, and the kB a second that this director may still spend there. */
final class Headroom {
    static final double MIN_TRUST = 0.3; // trust under which a link counts as not heard of
    private static final double TARGET_UTILIZATION = 0.89; // share of a link planned for: true rates wander
    private static final double UNTRUSTED_MARGIN = 0.1; // less of one whose level is not trusted at all
    private static final double PRIOR_UTILIZATION = 0.7; // fullness of a link never heard of, and of all when none was
    private static final double PRIOR_UTILIZATION_WEIGHT = 2; // links that the assumed fullness weighs as much as
    private static final double MAX_UTILIZATION_SAMPLE =
            1.5; // fullness over which one link tells no more of the others
    private static final double RIVAL_WEIGHT = 2; // wariness of other directors' newcomers at the same server

    private final Settings settings;
    private final Context context;
    private final EdgeServers servers;
    private final Pricing pricing;
    private final double ownShare; // this director's, where all take the same
    private double newcomerShare; // what rival newcomers leave
    private double linkUtilization = PRIOR_UTILIZATION; // mean fullness of what was heard of
    private double uplinkUtilization = PRIOR_UTILIZATION;
    private double ownKb;
    private double initialKb; // of sessions that played at the start

    Headroom(Context context, Pricing pricing) {
        this.context = context;
        this.pricing = pricing;
        settings = context.settings();
        servers = context.servers();
        ownShare = 1.0 / settings.brokers();
        newcomerShare = Math.max(ownShare, 1 / (1 + RIVAL_WEIGHT));
    }

    /** A session played already at the start. */
    void addInitialLoad(double kb) {
        initialKb += kb;
    }

    /** Reckons fullness and the newcomers' part anew, at that many own set-ups a second. */
    void update(double setUps, double sharedOut) {
        double opened = Math.min(1, initialKb * settings.brokers() / Math.max(1, servers.linksKb()));
        linkUtilization = meanUtilization(servers.all(), initialKb > 0 ? opened : PRIOR_UTILIZATION);
        uplinkUtilization = meanUtilization(servers.racks(), PRIOR_UTILIZATION);
        ownKb = 0;
        servers.racks().forEach(rack -> ownKb += rack.load().ownKb());
        int boxes = Math.max(1, servers.all().size());
        double others = setUps * (settings.brokers() - 1) / boxes;
        double rivals = others * settings.limits().reportInterval() / Choice.SECOND_US;
        // A share that is surely its own; more where few others come to a server between two readings.
        newcomerShare = Math.max(Math.max(ownShare, sharedOut), 1 / (1 + RIVAL_WEIGHT * rivals));
    }

    /** Mean fullness of what was heard of, each by its trust, and of what is assumed. */
    private double meanUtilization(Collection<? extends Link> links, double assumed) {
        WeightedMean mean = new WeightedMean(assumed, PRIOR_UTILIZATION_WEIGHT);
        for (Link link : links) {
            double full = load(link) / Math.max(1, link.nominalKb());
            mean.add(Math.min(MAX_UTILIZATION_SAMPLE, full), link.load().trust());
        }
        return mean.value();
    }

    /** What is asked there but for own changes since the last reading: that one as far as it is trusted. */
    double baseLoad(Link link) {
        double trust = link.load().trust();
        if (link instanceof EdgeServer server) {
            double own = server.load().ownKb() - server.load().pendingKb();
            double assumed = Math.max(linkUtilization * server.configuredKb(), own);
            boolean left = !server.listed() && server.idle();
            return left ? 0 : trust * server.load().levelKb() + (1 - trust) * assumed;
        }
        return servers.uplinksReported()
                ? trust * link.load().levelKb() + (1 - trust) * uplinkUtilization * link.nominalKb()
                : ((Rack) link).servers().stream().mapToDouble(this::baseLoad).sum();
    }

    /** What this director has added there since the last reading, set-ups included. */
    private double ownChange(Link link) {
        return servers.uplinksReported() || link instanceof EdgeServer
                ? link.load().trust() * link.load().changedKb() + link.load().pendingKb()
                : ((Rack) link).servers().stream().mapToDouble(this::ownChange).sum();
    }

    double load(Link link) {
        return Math.max(0, baseLoad(link) + ownChange(link));
    }

    /** What a link or uplink gives now, as far as is context. */
    double capacity(long now, Link link) {
        return link instanceof EdgeServer server
                ? server.configuredKb() * server.linkShare() * (server.presumedCold() ? 1 : server.warmth(now))
                : link.nominalKb();
    }

    /** How full a link or uplink is now. */
    double utilization(long now, Link link) {
        return load(link) / capacity(now, link);
    }

    /** This director's part of what a link or uplink still gives; negative: its share of the excess. */
    double shareOfRemainder(Link link, double gives, double part) {
        double level = baseLoad(link);
        double changed = ownChange(link);
        double excess = Math.min(1, Math.max(0, link.load().ownKb() - changed) / Math.max(1, level));
        return (gives - level) * (gives >= level ? part : excess) - changed;
    }

    /** The same of what is planned for, evenly at 0; less where the level is trusted less, as it is read. */
    private double plannedHeadroom(long now, Link link, double part) {
        boolean silent = link instanceof Rack && !servers.uplinksReported();
        double fill = TARGET_UTILIZATION
                - (silent ? 0 : UNTRUSTED_MARGIN * (1 - link.load().trust()));
        return shareOfRemainder(link, fill * capacity(now, link), part > 0 ? part : evenShare(link));
    }

    /** Part of the headroom, where all directors that have sessions there read of it at the same time. */
    private double evenShare(Link link) {
        double mean = ownKb / Math.max(1, context.sessions().size());
        double usual = ownKb > 0 ? mean : context.ladder().middleRateKb();
        return Math.max(ownShare, Math.min(1, usual / Math.max(1, load(link))));
    }

    /** For a newcomer: the part that rivals leave. */
    double forNewcomer(long now, EdgeServer server, Session session) {
        return forSession(now, server, session, newcomerShare);
    }

    /** For a session, by a part or, at 0, evenly: what Method II reserves for others is not there. */
    double forSession(long now, EdgeServer server, Session session, double part) {
        Rack rack = server.rack();
        double room = Math.min(plannedHeadroom(now, server, part), plannedHeadroom(now, rack, part));
        // Against a fresh director that refuses all: one modest set-up at a time finds out an unknown link.
        if (server.load().trust() < MIN_TRUST && server.idle()) {
            room = Math.max(room, session.rateKb(context.ladder().mostEfficientRendition(session.sessionClass())));
        }
        boolean over =
                load(server) > capacity(now, server) || servers.uplinksReported() && load(rack) > rack.uplinkKb();
        if (over || server.sessions().size() >= server.streams()) {
            room = Math.min(room, 0);
        }
        return room - reservedSlots(server, pricing.isPremium(session.sessionClass())) * pricing.slotKb();
    }

    /** Slots of this director's part that are kept for the other classes. */
    private double reservedSlots(EdgeServer server, boolean premium) {
        long used = server.sessions().stream()
                .filter(other -> pricing.isPremium(other.sessionClass()) != premium)
                .count();
        int quota = premium ? server.quotas().low() : server.quotas().high();
        return Math.max(0, (double) quota / settings.brokers() - used);
    }

    /** What this director's sessions may ask in all: what they do, and its part of what is left. */
    double budget(long now) {
        double budget = 0;
        for (Rack rack : servers.racks()) {
            double links = 0;
            for (EdgeServer server : rack.servers()) {
                boolean counts = server.usable(now) || !server.idle();
                links += counts ? server.load().ownKb() + plannedHeadroom(now, server, ownShare) : 0;
            }
            budget += Math.min(links, rack.load().ownKb() + plannedHeadroom(now, rack, ownShare));
        }
        return budget;
    }
}
