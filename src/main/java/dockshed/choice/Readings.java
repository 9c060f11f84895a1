package dockshed.choice;

import static dockshed.choice.Choice.SECOND_US;

import dockshed.Director.LoadReport;
import dockshed.Director.ReportField;
import dockshed.model.EdgeServer;
import dockshed.model.Link;
import dockshed.model.Rack;
import dockshed.model.Session;
import java.util.Collection;

/**
 * Readings of the load of links and uplinks: updates the estimates of load and capacity, and sub-rates sessions where a
 * link or uplink is overloaded. A reading is the demand on a link over its capacity; above 1 it is overloaded.
 */
record Readings(Context context, Headroom headroom, Steps steps) {
    private static final double LINK_RELIEF_THRESHOLD = 1.06; // demand over capacity; a smaller excess passes by itself
    private static final double UPLINK_RELIEF_THRESHOLD = 1.08; // higher, since an uplink's capacity is less certain
    private static final double RELIEF_TARGET = 1.0; // demand over capacity after relief; variation needs no margin
    private static final double CAPACITY_JUMP_RATIO = 1.7; // between two readings; more is a change of the capacity
    private static final double MIN_LINK_SHARE = 0.05; // of the configured rate, which a link gives at least
    private static final double MIN_UPLINK_SHARE = 0.15; // of the configured rate, which an uplink gives at least
    private static final double UPLINK_RECOVERY_PER_SECOND = 0.03; // of the configured rate, for a lowered estimate
    private static final long UPLINK_RECOVERY_DELAY_US = 3 * SECOND_US; // after the estimate was lowered
    private static final double SHORT_DELIVERY_THRESHOLD = 0.98; // share of the rate delivered
    private static final long SHORT_DELIVERY_VALIDITY_US = SECOND_US * 3 / 2; // of a server's short delivery
    private static final double MIN_DEMAND_KB = 1e-3; // avoids a division by 0

    /** Takes a reading of an edge server's link that was current at time {@code at}. */
    void linkLoad(long now, EdgeServer server, double value, long at) {
        double demandKb = value * headroom.capacity(now, server);
        adjustLinkShare(
                server,
                value,
                (server.load().levelKb() + server.load().changedUntil(at)) / Math.max(MIN_DEMAND_KB, demandKb));
        server.recordReading(
                value * headroom.capacity(now, server), at, context.random().nextDouble());
        relieve(now, server);
    }

    /** Takes a reading of the uplink of the server's rack. */
    void uplinkLoad(long now, EdgeServer server, double value) {
        Rack rack = server.rack();
        rack.load().recordReading(value * rack.uplinkKb(), server.load().readAt());
        relieve(now, server);
    }

    /**
     * Adjusts the share of its configured rate that a link gives: where the demand seems to have changed by a factor
     * that sessions cannot explain, the capacity has changed.
     *
     * @param ratio the demand expected since the last reading over the demand read
     */
    private static void adjustLinkShare(EdgeServer server, double value, double ratio) {
        // Less demand than the least share is too little to detect a jump.
        boolean significant = server.load().levelKb() > MIN_LINK_SHARE * server.configuredKb();
        if (server.load().trust() > Headroom.MIN_TRUST
                && significant
                && (ratio < 1 / CAPACITY_JUMP_RATIO && value > 1 || ratio > CAPACITY_JUMP_RATIO)) {
            server.setLinkShare(Math.max(MIN_LINK_SHARE, Math.min(1, server.linkShare() * ratio)));
        }
    }

    /** Takes the link load in a load report. It is later and noisier than a metric: used only without a recent one. */
    void loadReport(long now, EdgeServer server, LoadReport report) {
        int index = context.settings().reportFields().indexOf(ReportField.LINK);
        boolean present = index >= 0 && index < report.values().size();
        if (present
                && now - server.load().readAt()
                        > 2 * context.settings().limits().reportInterval()) {
            double demandKb = report.values().get(index) * headroom.capacity(now, server);
            server.recordReading(demandKb, now - SECOND_US / 2, context.random().nextDouble());
        }
    }

    /**
     * Takes the share of its sessions' rates that a server delivers. If most servers of a rack deliver short, the
     * uplink is the bottleneck, else the server's own link.
     */
    void deliveredShare(long now, EdgeServer server, double delivered) {
        if (delivered >= SHORT_DELIVERY_THRESHOLD || delivered <= 0) {
            return;
        }
        long measuredAt = now - context.settings().limits().reportDelay();
        Rack rack = server.rack();
        server.markShort(now);
        if (rack.mostShort(now, SHORT_DELIVERY_VALIDITY_US)) {
            rack.confirmShort(now);
            if (!context.servers().uplinksReported() && measuredAt - rack.shortAt() > SECOND_US) {
                // Compared with the demand when it was measured: some of it has been shed since.
                double demandKb = rack.servers().stream()
                        .mapToDouble(member ->
                                headroom.baseLoad(member) + member.load().trustedChangeUntil(measuredAt))
                        .sum();
                rack.lowerUplink(now, Math.max(MIN_UPLINK_SHARE * rack.configuredKb(), demandKb * delivered));
            }
        } else if (measuredAt - server.relievedAt() > SECOND_US) {
            double demandKb = Math.max(headroom.baseLoad(server), headroom.capacity(now, server) / delivered);
            server.recordReading(demandKb, measuredAt, context.random().nextDouble());
        }
        relieve(now, server);
    }

    /** Raises estimates of uplinks that were lowered some time ago, up to the configured rate. */
    void recoverUplinks(long now, long elapsed) {
        for (Rack rack : context.servers().racks()) {
            if (now - rack.shortAt() > UPLINK_RECOVERY_DELAY_US) {
                rack.raiseUplink(UPLINK_RECOVERY_PER_SECOND * rack.configuredKb() * elapsed / SECOND_US);
            }
        }
    }

    /** Steps sessions down for the demand beyond the capacity of the server's link or uplink. */
    private void relieve(long now, EdgeServer server) {
        Rack rack = server.rack();
        relieve(now, server, LINK_RELIEF_THRESHOLD, server.sessions());
        // Without a margin where short delivery confirms the overload.
        double threshold = now - rack.confirmedShortAt() < SECOND_US ? RELIEF_TARGET : UPLINK_RELIEF_THRESHOLD;
        relieve(now, rack, threshold, rack.sessions());
    }

    private void relieve(long now, Link link, double threshold, Collection<Session> sessions) {
        double capacityKb = headroom.capacity(now, link);
        // Readings from before the other brokers shed would have this broker shed again.
        long settleTime = context.settings().limits().reportDelay() + SECOND_US / 2;
        if (headroom.load(link) > threshold * capacityKb && now - link.relievedAt() > settleTime) {
            link.markRelieved(now);
            steps.shed(now, sessions, -headroom.shareOfRemainder(link, RELIEF_TARGET * capacityKb, 1));
        }
    }
}
