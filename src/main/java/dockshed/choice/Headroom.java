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
    static final double UNKNOWN = 0.3; // trust under which a link counts as not heard of
    private static final double FILL = 0.89; // share of a link planned for: true rates wander
    private static final double WARY = 0.1; // less of one whose level is not trusted at all
    private static final double PRIOR_FILL = 0.7; // fullness of a link never heard of, and of all when none was
    private static final double PRIOR_HEARD = 2; // links that the assumed fullness weighs as much as
    private static final double OVERFULL = 1.5; // fullness over which one link tells no more of the others
    private static final double RIVALS = 2; // wariness of other directors' newcomers at the same server

    private final Settings settings;
    private final Context context;
    private final EdgeServers servers;
    private final Pricing pricing;
    private final double ownPart; // this director's, where all take the same
    private double newcomerPart; // what rival newcomers leave
    private double linkFill = PRIOR_FILL; // mean fullness of what was heard of
    private double uplinkFill = PRIOR_FILL;
    private double ownKb;
    private double openedKb; // of sessions that played at the start

    Headroom(Context context, Pricing pricing) {
        this.context = context;
        this.pricing = pricing;
        settings = context.settings();
        servers = context.servers();
        ownPart = 1.0 / settings.brokers();
        newcomerPart = Math.max(ownPart, 1 / (1 + RIVALS));
    }

    /** A session played already at the start. */
    void opened(double kb) {
        openedKb += kb;
    }

    /** Reckons fullness and the newcomers' part anew, at that many own set-ups a second. */
    void update(double setUps, double sharedOut) {
        double opened = Math.min(1, openedKb * settings.brokers() / Math.max(1, servers.linksKb()));
        linkFill = fullness(servers.all(), openedKb > 0 ? opened : PRIOR_FILL);
        uplinkFill = fullness(servers.racks(), PRIOR_FILL);
        ownKb = 0;
        servers.racks().forEach(rack -> ownKb += rack.load().own());
        int boxes = Math.max(1, servers.all().size());
        double others = setUps * (settings.brokers() - 1) / boxes;
        double rivals = others * settings.limits().reportInterval() / Choice.SECOND;
        // A share that is surely its own; more where few others come to a server between two readings.
        newcomerPart = Math.max(Math.max(ownPart, sharedOut), 1 / (1 + RIVALS * rivals));
    }

    /** Mean fullness of what was heard of, each by its trust, and of what is assumed. */
    private double fullness(Collection<? extends Link> links, double assumed) {
        WeightedMean mean = new WeightedMean(assumed, PRIOR_HEARD);
        for (Link link : links) {
            double full = load(link) / Math.max(1, link.nominalKb());
            mean.add(Math.min(OVERFULL, full), link.load().trust());
        }
        return mean.value();
    }

    /** What is asked there but for own changes since the last reading: that one as far as it is trusted. */
    double base(Link link) {
        double trust = link.load().trust();
        if (link instanceof EdgeServer server) {
            double own = server.load().own() - server.load().pending();
            double assumed = Math.max(linkFill * server.toldKb(), own);
            boolean left = !server.listed() && server.idle();
            return left ? 0 : trust * server.load().level() + (1 - trust) * assumed;
        }
        return servers.uplinksTold()
                ? trust * link.load().level() + (1 - trust) * uplinkFill * link.nominalKb()
                : ((Rack) link).servers().stream().mapToDouble(this::base).sum();
    }

    /** What this director has added there since the last reading, set-ups included. */
    private double changed(Link link) {
        return servers.uplinksTold() || link instanceof EdgeServer
                ? link.load().trust() * link.load().changed() + link.load().pending()
                : ((Rack) link).servers().stream().mapToDouble(this::changed).sum();
    }

    double load(Link link) {
        return Math.max(0, base(link) + changed(link));
    }

    /** What a link or uplink gives now, as far as is context. */
    double capacity(long now, Link link) {
        return link instanceof EdgeServer server
                ? server.toldKb() * server.linkShare() * (server.presumedCold() ? 1 : server.warmth(now))
                : link.nominalKb();
    }

    /** How full a link or uplink is now. */
    double full(long now, Link link) {
        return load(link) / capacity(now, link);
    }

    /** This director's part of what a link or uplink still gives; negative: its share of the excess. */
    double part(Link link, double gives, double part) {
        double level = base(link);
        double changed = changed(link);
        double excess = Math.min(1, Math.max(0, link.load().own() - changed) / Math.max(1, level));
        return (gives - level) * (gives >= level ? part : excess) - changed;
    }

    /** The same of what is planned for, evenly at 0; less where the level is trusted less, as it is read. */
    private double planned(long now, Link link, double part) {
        boolean silent = link instanceof Rack && !servers.uplinksTold();
        double fill = FILL - (silent ? 0 : WARY * (1 - link.load().trust()));
        return part(link, fill * capacity(now, link), part > 0 ? part : evenly(link));
    }

    /** Part of the headroom, where all directors that have sessions there read of it at the same time. */
    private double evenly(Link link) {
        double mean = ownKb / Math.max(1, context.sessions().size());
        double usual = ownKb > 0 ? mean : context.ladder().middleRate();
        return Math.max(ownPart, Math.min(1, usual / Math.max(1, load(link))));
    }

    /** For a newcomer: the part that rivals leave. */
    double forNewcomer(long now, EdgeServer server, Session session) {
        return of(now, server, session, newcomerPart);
    }

    /** For a session, by a part or, at 0, evenly: what Method II reserves for others is not there. */
    double of(long now, EdgeServer server, Session session, double part) {
        Rack rack = server.rack();
        double room = Math.min(planned(now, server, part), planned(now, rack, part));
        // Against a fresh director that refuses all: one modest set-up at a time finds out an unknown link.
        if (server.load().trust() < UNKNOWN && server.idle()) {
            room = Math.max(room, session.kb(context.ladder().modest(session.sessionClass())));
        }
        boolean over = load(server) > capacity(now, server) || servers.uplinksTold() && load(rack) > rack.uplinkKb();
        if (over || server.sessions().size() >= server.streams()) {
            room = Math.min(room, 0);
        }
        return room - reserved(server, pricing.premium(session.sessionClass())) * pricing.slotKb();
    }

    /** Slots of this director's part that are kept for the other classes. */
    private double reserved(EdgeServer server, boolean premium) {
        long used = server.sessions().stream()
                .filter(other -> pricing.premium(other.sessionClass()) != premium)
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
                links += counts ? server.load().own() + planned(now, server, ownPart) : 0;
            }
            budget += Math.min(links, rack.load().own() + planned(now, rack, ownPart));
        }
        return budget;
    }
}
