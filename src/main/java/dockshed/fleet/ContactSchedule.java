package dockshed.fleet;

import dockshed.topology.Scope;
import dockshed.topology.ZoneMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * When this broker contacts a broker of another scope, and which one: the scopes in turn, in random order, and in each
 * a random broker, whether it is up or not. So every scope is notified of every other by many brokers, none of which is
 * special, and the cost for a broker does not depend on the size of the fleet.
 */
final class ContactSchedule {
    /** Maximum time between two contacts, in microseconds. */
    static final long MAX_PERIOD_US = 500_000;
    /** Minimum time between two contacts, in microseconds, if few brokers have to reach many scopes. */
    static final long MIN_PERIOD_US = 125_000;
    /** Contacts per second that a scope receives from each other scope, within the limits of the period. */
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

    /** When the next contact is due; Long.MAX_VALUE in a fleet of one scope. */
    long dueAt() {
        return dueAt;
    }

    /** The broker to contact now; the next contact is due one period later, plus or minus a quarter. */
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
