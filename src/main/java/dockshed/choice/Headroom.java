package dockshed.choice;

import dockshed.Director.Settings;
import dockshed.model.EdgeServer;
import dockshed.model.EdgeServers;
import dockshed.model.Link;
import dockshed.model.Rack;
import dockshed.model.Session;
import dockshed.queueing.WeightedMean;
import java.util.Collection;

/** Estimates the load of links and uplinks, and the kB/s that this broker may still use there. */
final class Headroom {
    static final double MIN_TRUST = 0.3; // below this trust a link's load counts as unknown
    private static final double TARGET_UTILIZATION = 0.89; // below 1, since true session rates vary
    private static final double UNTRUSTED_MARGIN = 0.1; // taken off the target where a reading is not trusted at all
    private static final double PRIOR_UTILIZATION = 0.7; // of a link without readings, and of all links at the start
    private static final double PRIOR_UTILIZATION_WEIGHT = 2; // in links with a fully trusted reading
    private static final double MAX_UTILIZATION_SAMPLE = 1.5; // so that one overloaded link does not distort the mean
    private static final double RIVAL_WEIGHT = 2; // of other brokers' newcomers to the same server

    private final Settings settings;
    private final Context context;
    private final EdgeServers servers;
    private final Pricing pricing;
    private final double ownShare; // of this broker where all brokers take equal shares
    private double newcomerShare; // of this broker's newcomers, next to those of other brokers
    private double linkUtilization = PRIOR_UTILIZATION; // mean over links with readings
    private double uplinkUtilization = PRIOR_UTILIZATION;
    private double ownKb;
    private double initialKb; // of sessions already playing at the start

    Headroom(Context context, Pricing pricing) {
        this.context = context;
        this.pricing = pricing;
        settings = context.settings();
        servers = context.servers();
        ownShare = 1.0 / settings.brokers();
        newcomerShare = Math.max(ownShare, 1 / (1 + RIVAL_WEIGHT));
    }

    /** Adds the load of a session that was already playing at the start, or a change of it. */
    void addInitialLoad(double kb) {
        initialKb += kb;
    }

    /**
     * Recalculates the utilizations and the newcomers' share.
     *
     * @param setUpsPerSecond own set-ups per second
     * @param grantedShare the share granted by {@code Actions.newSessionShare}, negative if none
     */
    void update(double setUpsPerSecond, double grantedShare) {
        double initialUtilization = Math.min(1, initialKb * settings.brokers() / Math.max(1, servers.linksKb()));
        linkUtilization = meanUtilization(servers.all(), initialKb > 0 ? initialUtilization : PRIOR_UTILIZATION);
        uplinkUtilization = meanUtilization(servers.racks(), PRIOR_UTILIZATION);
        ownKb = 0;
        servers.racks().forEach(rack -> ownKb += rack.load().ownKb());
        int serverCount = Math.max(1, servers.all().size());
        double otherSetUps = setUpsPerSecond * (settings.brokers() - 1) / serverCount;
        double rivals = otherSetUps * settings.limits().reportInterval() / Choice.SECOND_US;
        // At least the share that is certainly its own; more where few other newcomers reach a server between two
        // readings.
        newcomerShare = Math.max(Math.max(ownShare, grantedShare), 1 / (1 + RIVAL_WEIGHT * rivals));
    }

    /** Mean utilization of the links, weighted by trust, together with the assumed one. */
    private double meanUtilization(Collection<? extends Link> links, double assumed) {
        WeightedMean mean = new WeightedMean(assumed, PRIOR_UTILIZATION_WEIGHT);
        for (Link link : links) {
            double sample = load(link) / Math.max(1, link.nominalKb());
            mean.add(Math.min(MAX_UTILIZATION_SAMPLE, sample), link.load().trust());
        }
        return mean.value();
    }

    /**
     * Load of the link in kB/s without own changes since the last reading: the reading as far as it is trusted, else an
     * assumed load. A server that has left the list without own sessions has none.
     */
    double baseLoad(Link link) {
        double trust = link.load().trust();
        if (link instanceof EdgeServer server) {
            double ownPlayingKb = server.load().ownKb() - server.load().pendingKb();
            double assumedKb = Math.max(linkUtilization * server.configuredKb(), ownPlayingKb);
            boolean delisted = !server.listed() && server.idle();
            return delisted ? 0 : trust * server.load().levelKb() + (1 - trust) * assumedKb;
        }
        return servers.uplinksReported()
                ? trust * link.load().levelKb() + (1 - trust) * uplinkUtilization * link.nominalKb()
                : ((Rack) link).servers().stream().mapToDouble(this::baseLoad).sum();
    }

    /** Load that this broker has added since the last reading in kB/s, including set-ups in progress. */
    private double ownChange(Link link) {
        return servers.uplinksReported() || link instanceof EdgeServer
                ? link.load().trust() * link.load().changedKb() + link.load().pendingKb()
                : ((Rack) link).servers().stream().mapToDouble(this::ownChange).sum();
    }

    /** Estimated load of the link in kB/s. */
    double load(Link link) {
        return Math.max(0, baseLoad(link) + ownChange(link));
    }

    /** Capacity of a link or uplink now in kB/s, reduced while a server is known to be cold. */
    double capacity(long now, Link link) {
        return link instanceof EdgeServer server
                ? server.configuredKb() * server.linkShare() * (server.presumedCold() ? 1 : server.warmth(now))
                : link.nominalKb();
    }

    /** Load over capacity of a link or uplink now. */
    double utilization(long now, Link link) {
        return load(link) / capacity(now, link);
    }

    /**
     * This broker's share of the capacity that a link or uplink has left, in kB/s; negative if it is overloaded: this
     * broker's share of the excess, in proportion to its part of the load.
     */
    double shareOfRemainder(Link link, double capacityKb, double share) {
        double baseKb = baseLoad(link);
        double ownChangeKb = ownChange(link);
        double excessShare = Math.min(1, Math.max(0, link.load().ownKb() - ownChangeKb) / Math.max(1, baseKb));
        return (capacityKb - baseKb) * (capacityKb >= baseKb ? share : excessShare) - ownChangeKb;
    }

    /**
     * This broker's share of the planned capacity that is left in kB/s; {@code share} 0 means the even share. Less is
     * planned for where the reading is trusted less.
     */
    private double plannedHeadroom(long now, Link link, double share) {
        boolean notReported = link instanceof Rack && !servers.uplinksReported();
        double target = TARGET_UTILIZATION
                - (notReported ? 0 : UNTRUSTED_MARGIN * (1 - link.load().trust()));
        return shareOfRemainder(link, target * capacity(now, link), share > 0 ? share : evenShare(link));
    }

    /** Share of the headroom where all brokers with sessions at the link learn of it at the same time. */
    private double evenShare(Link link) {
        double meanKb = ownKb / Math.max(1, context.sessions().size());
        double usualKb = ownKb > 0 ? meanKb : context.ladder().middleRateKb();
        return Math.max(ownShare, Math.min(1, usualKb / Math.max(1, load(link))));
    }

    /** Headroom for a newcomer in kB/s, allowing for newcomers of other brokers. */
    double forNewcomer(long now, EdgeServer server, Session session) {
        return forSession(now, server, session, newcomerShare);
    }

    /**
     * Headroom for a session in kB/s at a share, or at the even share if {@code share} is 0; slots reserved for the
     * other classes are not available to it.
     */
    double forSession(long now, EdgeServer server, Session session, double share) {
        Rack rack = server.rack();
        double room = Math.min(plannedHeadroom(now, server, share), plannedHeadroom(now, rack, share));
        // A broker that knows nothing yet would refuse everything: one set-up at the most efficient rendition at a time
        // finds out the load of an unknown link.
        if (server.load().trust() < MIN_TRUST && server.idle()) {
            room = Math.max(room, session.rateKb(context.ladder().mostEfficientRendition(session.sessionClass())));
        }
        boolean overloaded =
                load(server) > capacity(now, server) || servers.uplinksReported() && load(rack) > rack.uplinkKb();
        if (overloaded || server.sessions().size() >= server.streams()) {
            room = Math.min(room, 0);
        }
        return room - reservedSlots(server, pricing.isPremium(session.sessionClass())) * pricing.slotKb();
    }

    /** Slots of this broker's share that are reserved for the other classes and not used by them. */
    private double reservedSlots(EdgeServer server, boolean premium) {
        long usedByOthers = server.sessions().stream()
                .filter(other -> pricing.isPremium(other.sessionClass()) != premium)
                .count();
        int quota = premium ? server.quotas().low() : server.quotas().high();
        return Math.max(0, (double) quota / settings.brokers() - usedByOthers);
    }

    /** The kB/s that this broker's sessions may use in all: what they use now and its share of what is left. */
    double budget(long now) {
        double budget = 0;
        for (Rack rack : servers.racks()) {
            double linksBudget = 0;
            for (EdgeServer server : rack.servers()) {
                boolean included = server.usable(now) || !server.idle();
                linksBudget += included ? server.load().ownKb() + plannedHeadroom(now, server, ownShare) : 0;
            }
            budget += Math.min(linksBudget, rack.load().ownKb() + plannedHeadroom(now, rack, ownShare));
        }
        return budget;
    }
}
