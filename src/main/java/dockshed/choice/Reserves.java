package dockshed.choice;

import dockshed.Director.SessionClass;
import dockshed.model.EdgeServer;
import dockshed.queueing.ClassMix;
import dockshed.queueing.QuotaOptimizer;
import java.util.HashMap;
import java.util.Map;

/** Reserves slots of each edge server for premium sessions and for the others, by Method II. */
record Reserves(Context context, Pricing pricing) {
    private static final int MIN_ARRIVALS = 12; // with fewer nothing is reserved

    /** Recalculates the quotas from all arrivals since the start. */
    void recompute(long now) {
        ClassMix high = new ClassMix();
        ClassMix low = new ClassMix();
        for (SessionClass sessionClass : context.settings().classes()) {
            (pricing.isPremium(sessionClass) ? high : low)
                    .add(context.rates().requestsSinceStart(sessionClass), sessionClass.worth());
        }
        int listed = context.servers().listed().size();
        if (high.arrivals() + low.arrivals() < MIN_ARRIVALS
                || high.arrivals() == 0
                || low.arrivals() == 0
                || listed == 0) {
            context.servers().all().forEach(server -> server.reserve(QuotaOptimizer.Quotas.NONE));
            return;
        }
        double ratePerServer = context.settings().brokers() / (context.rates().elapsed(now) * listed);
        QuotaOptimizer optimizer = new QuotaOptimizer(
                high.arrivals() * ratePerServer,
                low.arrivals() * ratePerServer,
                context.sessions().stays().endRate(),
                high.meanWorth(),
                low.meanWorth(),
                SubRating.MAX_PER_NEWCOMER);
        Map<Integer, QuotaOptimizer.Quotas> bySlots = new HashMap<>();
        for (EdgeServer server : context.servers().all()) {
            int slots = (int) Math.min(server.streams(), server.configuredKb() / pricing.slotKb());
            server.reserve(bySlots.computeIfAbsent(QuotaOptimizer.representativeSlots(slots), optimizer::best));
        }
    }
}
