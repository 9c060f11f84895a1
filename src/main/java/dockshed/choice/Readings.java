package dockshed.choice;

import static dockshed.choice.Choice.SECOND;

import dockshed.Director.LoadReport;
import dockshed.Director.ReportField;
import dockshed.model.EdgeServer;
import dockshed.model.Link;
import dockshed.model.Rack;
import dockshed.model.Session;
import java.util.Collection;

/** What is learnt of links and uplinks, and the relief of those of which too much is asked. */
record Readings(Context context, Headroom headroom, Steps steps) {
    private static final double FULL = 1.06; // share asked at which relief begins: less wanders back
    private static final double RACK_FULL = 1.08; // the same for an uplink, which is known less well
    private static final double RELIEVED = 1.0; // share asked that relief aims at: what wanders needs no more
    private static final double JUMP = 1.7; // between two readings of a link: more is the link's doing
    private static final double LEAST_LINK = 0.05; // of the told rate: a link gives that, and less asked is no jump
    private static final double LEAST_UPLINK = 0.15; // of the told rate: an uplink gives at least that
    private static final double UPLINK_RISE = 0.03; // of the told uplink that a lowered estimate regains a second
    private static final long UPLINK_RISES_AFTER = 3 * SECOND; // since it was lowered
    private static final double SHORT = 0.98; // share delivered, under which a server delivers short
    private static final long SHORT_FOR = SECOND * 3 / 2; // a server that was found short counts as short
    private static final double LEAST_READING = 1e-3; // in kB, so as not to divide by 0

    /** What is asked of an edge server's link over what it gives, as of that time. */
    void link(long now, EdgeServer server, double value, long at) {
        double asked = value * headroom.capacity(now, server);
        jump(server, value, (server.load().level() + server.load().changedBy(at)) / Math.max(LEAST_READING, asked));
        server.read(value * headroom.capacity(now, server), at, context.random().nextDouble());
        relieve(now, server);
    }

    /** The same of its uplink. */
    void uplink(long now, EdgeServer server, double value) {
        Rack rack = server.rack();
        rack.load().read(value * rack.uplinkKb(), server.load().readAt());
        relieve(now, server);
    }

    /** A link asked a multiple of what it was, which nobody can have added since, gives less; and back. */
    private static void jump(EdgeServer server, double value, double ratio) {
        boolean asked = server.load().level() > LEAST_LINK * server.toldKb();
        if (server.load().trust() > Headroom.UNKNOWN && asked && (ratio < 1 / JUMP && value > 1 || ratio > JUMP)) {
            server.learnLinkShare(Math.max(LEAST_LINK, Math.min(1, server.linkShare() * ratio)));
        }
    }

    /** Load reports are later and noisier than notes: used only where no note has come for long. */
    void report(long now, EdgeServer server, LoadReport report) {
        int i = context.settings().reportFields().indexOf(ReportField.LINK);
        boolean told = i >= 0 && i < report.values().size();
        if (told
                && now - server.load().readAt()
                        > 2 * context.settings().limits().reportInterval()) {
            double asked = report.values().get(i) * headroom.capacity(now, server);
            server.read(asked, now - SECOND / 2, context.random().nextDouble());
        }
    }

    /** A server that delivers short: its rack's uplink is short if most of the rack's are, else its own link. */
    void delivered(long now, EdgeServer server, double delivered) {
        if (delivered >= SHORT || delivered <= 0) {
            return;
        }
        long seen = now - context.settings().limits().reportDelay();
        Rack rack = server.rack();
        server.foundShort(now);
        if (rack.mostShort(now, SHORT_FOR)) {
            rack.confirmShort(now);
            if (!context.servers().uplinksTold() && seen - rack.shortAt() > SECOND) {
                // Set against what was asked then, not against what is left since some was shed.
                double asked = rack.servers().stream()
                        .mapToDouble(s -> headroom.base(s) + s.load().trustedChangeBy(seen))
                        .sum();
                rack.lowerUplink(now, Math.max(LEAST_UPLINK * rack.toldKb(), asked * delivered));
            }
        } else if (seen - server.relievedAt() > SECOND) {
            double asked = Math.max(headroom.base(server), headroom.capacity(now, server) / delivered);
            server.read(asked, seen, context.random().nextDouble());
        }
        relieve(now, server);
    }

    /** What an uplink was lowered to long ago rises again, up to what was told. */
    void regainUplinks(long now, long span) {
        for (Rack rack : context.servers().racks()) {
            if (now - rack.shortAt() > UPLINK_RISES_AFTER) {
                rack.raiseUplink(UPLINK_RISE * rack.toldKb() * span / SECOND);
            }
        }
    }

    /** Sub-rating for what is asked beyond a link or uplink: the same drops, as often as needed. */
    private void relieve(long now, EdgeServer server) {
        Rack rack = server.rack();
        relieve(now, server, FULL, server.sessions());
        double full = now - rack.confirmedShortAt() < SECOND ? RELIEVED : RACK_FULL; // servers deliver short too
        relieve(now, rack, full, rack.sessions());
    }

    private void relieve(long now, Link link, double full, Collection<Session> sessions) {
        double gives = headroom.capacity(now, link);
        long settled =
                context.settings().limits().reportDelay() + SECOND / 2; // not for readings from before others shed
        if (headroom.load(link) > full * gives && now - link.relievedAt() > settled) {
            link.relieved(now);
            steps.shed(now, sessions, -headroom.part(link, RELIEVED * gives, 1));
        }
    }
}
