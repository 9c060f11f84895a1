package dockshed.choice;

import dockshed.Director.SessionClass;
import dockshed.model.EdgeServer;
import dockshed.queueing.ClassMix;
import dockshed.queueing.QuotaOptimizer;
import java.util.HashMap;
import java.util.Map;

/** The slots of each edge server that are reserved for premium sessions and for the others, by Method II. */
record Reserves(Context context, Pricing pricing) {
    private static final int MIN_ARRIVALS = 12; // arrivals under which every slot stays in the pool

    /** Reckons the quotas anew from what has arrived since the start. */
    void recompute(long now) {
        ClassMix high = new ClassMix();
        ClassMix low = new ClassMix();
        for (SessionClass c : context.settings().classes()) {
            (pricing.isPremium(c) ? high : low).add(context.rates().requested(c), c.worth());
        }
        int listed = context.servers().listed().size();
        if (high.arrivals() + low.arrivals() < MIN_ARRIVALS
                || high.arrivals() == 0
                || low.arrivals() == 0
                || listed == 0) {
            context.servers().all().forEach(server -> server.reserve(QuotaOptimizer.Quotas.NONE));
            return;
        }
        double perServer = context.settings().brokers() / (context.rates().elapsed(now) * listed);
        QuotaOptimizer method = new QuotaOptimizer(
                high.arrivals() * perServer,
                low.arrivals() * perServer,
                context.sessions().stays().endRate(),
                high.meanWorth(),
                low.meanWorth(),
                SubRating.MAX_PER_NEWCOMER);
        Map<Integer, QuotaOptimizer.Quotas> bySlots = new HashMap<>();
        for (EdgeServer server : context.servers().all()) {
            int slots = (int) Math.min(server.streams(), server.configuredKb() / pricing.slotKb());
            server.reserve(bySlots.computeIfAbsent(QuotaOptimizer.representativeSlots(slots), method::best));
        }
    }
}
