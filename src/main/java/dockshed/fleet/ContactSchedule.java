package dockshed.fleet;

import dockshed.topology.Scope;
import dockshed.topology.ZoneMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * When this broker contacts one of another scope, and which: the scopes in turn, in a random order, and in each a random
 * broker, whether it is up or not. So every scope hears of every other by many brokers, none of which is special, and
 * the cost for a broker does not depend on the size of the fleet.
 */
final class ContactSchedule {
    /** Microseconds between two contacts at most. */
    static final long MAX_PERIOD_US = 500_000;
    /** Microseconds between two contacts at least, where few brokers have to reach many scopes. */
    static final long MIN_PERIOD_US = 125_000;
    /** Contacts a second that a scope has from each other one, as far as the bounds of the period allow. */
    private static final double CONTACTS_PER_SECOND = 2;

    private final ZoneMap zones;
    private final Scope own;
    private final SplittableRandom random;
    private final long period;
    private final List<Scope> round = new ArrayList<>();
    private long dueAt;

    ContactSchedule(ZoneMap zones, Scope own, long now, SplittableRandom random) {
        this.zones = zones;
        this.own = own;
        this.random = random;
        int others = zones.scopes().size() - 1;
        double wanted = own.size() / (CONTACTS_PER_SECOND * Math.max(1, others));
        period = (long) Math.max(MIN_PERIOD_US, Math.min(MAX_PERIOD_US, wanted * 1e6));
        dueAt = others == 0 ? Long.MAX_VALUE : now + random.nextLong(period);
    }

    /** When the next contact is due; never in a fleet of one scope. */
    long dueAt() {
        return dueAt;
    }

    /** The broker to contact now; the next contact is due a period later, give or take a quarter. */
    int nextContact(long now) {
        dueAt = now + period * 3 / 4 + random.nextLong(period / 2);
        if (round.isEmpty()) {
            for (Scope scope : zones.scopes()) {
                if (!scope.equals(own)) {
                    round.add(scope);
                }
            }
            Collections.shuffle(round, new Random(random.nextLong()));
        }
        Scope scope = round.remove(round.size() - 1);
        return scope.first() + random.nextInt(scope.size());
    }
}
