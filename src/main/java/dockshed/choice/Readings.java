package dockshed.choice;

import static dockshed.choice.Choice.SECOND_US;

import dockshed.Director.LoadReport;
import dockshed.Director.ReportField;
import dockshed.model.EdgeServer;
import dockshed.model.Link;
import dockshed.model.Rack;
import dockshed.model.Session;
import java.util.Collection;

/** What is learnt of links and uplinks, and the relief of those of which too much is asked. */
record Readings(Context context, Headroom headroom, Steps steps) {
    private static final double LINK_RELIEF_THRESHOLD = 1.06; // share asked at which relief begins: less wanders back
    private static final double UPLINK_RELIEF_THRESHOLD = 1.08; // the same for an uplink, which is known less well
    private static final double RELIEF_TARGET = 1.0; // share asked that relief aims at: what wanders needs no more
    private static final double CAPACITY_JUMP_RATIO = 1.7; // between two readings of a link: more is the link's doing
    private static final double MIN_LINK_SHARE = 0.05; // of the told rate: a link gives that, and less asked is no jump
    private static final double MIN_UPLINK_SHARE = 0.15; // of the told rate: an uplink gives at least that
    private static final double UPLINK_RECOVERY_PER_SECOND =
            0.03; // of the told uplink that a lowered estimate regains a second
    private static final long UPLINK_RECOVERY_DELAY_US = 3 * SECOND_US; // since it was lowered
    private static final double SHORT_DELIVERY_THRESHOLD = 0.98; // share delivered, under which a server delivers short
    private static final long SHORT_DELIVERY_VALIDITY_US =
            SECOND_US * 3 / 2; // a server that was found short counts as short
    private static final double MIN_DEMAND_KB = 1e-3; // in kB, so as not to divide by 0

    /** What is asked of an edge server's link over what it gives, as of that time. */
    void linkLoad(long now, EdgeServer server, double value, long at) {
        double asked = value * headroom.capacity(now, server);
        adjustLinkShare(
                server,
                value,
                (server.load().levelKb() + server.load().changedUntil(at)) / Math.max(MIN_DEMAND_KB, asked));
        server.recordReading(
                value * headroom.capacity(now, server), at, context.random().nextDouble());
        relieve(now, server);
    }

    /** The same of its uplink. */
    void uplinkLoad(long now, EdgeServer server, double value) {
        Rack rack = server.rack();
        rack.load().recordReading(value * rack.uplinkKb(), server.load().readAt());
        relieve(now, server);
    }

    /** A link asked a multiple of what it was, which nobody can have added since, gives less; and back. */
    private static void adjustLinkShare(EdgeServer server, double value, double ratio) {
        boolean asked = server.load().levelKb() > MIN_LINK_SHARE * server.configuredKb();
        if (server.load().trust() > Headroom.MIN_TRUST
                && asked
                && (ratio < 1 / CAPACITY_JUMP_RATIO && value > 1 || ratio > CAPACITY_JUMP_RATIO)) {
            server.setLinkShare(Math.max(MIN_LINK_SHARE, Math.min(1, server.linkShare() * ratio)));
        }
    }

    /** Load reports are later and noisier than notes: used only where no note has come for long. */
    void loadReport(long now, EdgeServer server, LoadReport report) {
        int i = context.settings().reportFields().indexOf(ReportField.LINK);
        boolean told = i >= 0 && i < report.values().size();
        if (told
                && now - server.load().readAt()
                        > 2 * context.settings().limits().reportInterval()) {
            double asked = report.values().get(i) * headroom.capacity(now, server);
            server.recordReading(asked, now - SECOND_US / 2, context.random().nextDouble());
        }
    }

    /** A server that delivers short: its rack's uplink is short if most of the rack's are, else its own link. */
    void deliveredShare(long now, EdgeServer server, double delivered) {
        if (delivered >= SHORT_DELIVERY_THRESHOLD || delivered <= 0) {
            return;
        }
        long seen = now - context.settings().limits().reportDelay();
        Rack rack = server.rack();
        server.markShort(now);
        if (rack.mostShort(now, SHORT_DELIVERY_VALIDITY_US)) {
            rack.confirmShort(now);
            if (!context.servers().uplinksReported() && seen - rack.shortAt() > SECOND_US) {
                // Set against what was asked then, not against what is left since some was shed.
                double asked = rack.servers().stream()
                        .mapToDouble(s -> headroom.baseLoad(s) + s.load().trustedChangeUntil(seen))
                        .sum();
                rack.lowerUplink(now, Math.max(MIN_UPLINK_SHARE * rack.configuredKb(), asked * delivered));
            }
        } else if (seen - server.relievedAt() > SECOND_US) {
            double asked = Math.max(headroom.baseLoad(server), headroom.capacity(now, server) / delivered);
            server.recordReading(asked, seen, context.random().nextDouble());
        }
        relieve(now, server);
    }

    /** What an uplink was lowered to long ago rises again, up to what was told. */
    void recoverUplinks(long now, long span) {
        for (Rack rack : context.servers().racks()) {
            if (now - rack.shortAt() > UPLINK_RECOVERY_DELAY_US) {
                rack.raiseUplink(UPLINK_RECOVERY_PER_SECOND * rack.configuredKb() * span / SECOND_US);
            }
        }
    }

    /** Sub-rating for what is asked beyond a link or uplink: the same drops, as often as needed. */
    private void relieve(long now, EdgeServer server) {
        Rack rack = server.rack();
        relieve(now, server, LINK_RELIEF_THRESHOLD, server.sessions());
        double full = now - rack.confirmedShortAt() < SECOND_US
                ? RELIEF_TARGET
                : UPLINK_RELIEF_THRESHOLD; // servers deliver short too
        relieve(now, rack, full, rack.sessions());
    }

    private void relieve(long now, Link link, double full, Collection<Session> sessions) {
        double gives = headroom.capacity(now, link);
        long settled =
                context.settings().limits().reportDelay() + SECOND_US / 2; // not for readings from before others shed
        if (headroom.load(link) > full * gives && now - link.relievedAt() > settled) {
            link.markRelieved(now);
            steps.shed(now, sessions, -headroom.shareOfRemainder(link, RELIEF_TARGET * gives, 1));
        }
    }
}
