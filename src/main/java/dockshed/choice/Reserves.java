package dockshed.choice;

import dockshed.Director.SessionClass;
import dockshed.model.EdgeServer;
import dockshed.queueing.ClassMix;
import dockshed.queueing.QuotaOptimizer;
import java.util.HashMap;
import java.util.Map;

/** The slots of each edge server that are reserved for premium sessions and for the others, by Method II. */
record Reserves(Context context, Pricing pricing) {
    private static final int FEW = 12; // arrivals under which every slot stays in the pool

    /** Reckons the quotas anew from what has arrived since the start. */
    void recompute(long now) {
        ClassMix high = new ClassMix();
        ClassMix low = new ClassMix();
        for (SessionClass c : context.settings().classes()) {
            (pricing.premium(c) ? high : low).add(context.rates().requested(c), c.worth());
        }
        int listed = context.servers().listed().size();
        if (high.count() + low.count() < FEW || high.count() == 0 || low.count() == 0 || listed == 0) {
            context.servers().all().forEach(server -> server.reserve(QuotaOptimizer.Quotas.NONE));
            return;
        }
        double perServer = context.settings().brokers() / (context.rates().elapsed(now) * listed);
        QuotaOptimizer method = new QuotaOptimizer(
                high.count() * perServer,
                low.count() * perServer,
                context.sessions().stays().rate(),
                high.meanWorth(),
                low.meanWorth(),
                SubRating.ALPHA);
        Map<Integer, QuotaOptimizer.Quotas> bySlots = new HashMap<>();
        for (EdgeServer server : context.servers().all()) {
            int slots = (int) Math.min(server.streams(), server.toldKb() / pricing.slotKb());
            server.reserve(bySlots.computeIfAbsent(QuotaOptimizer.representative(slots), method::best));
        }
    }
}
