package dockshed.fleet;

import dockshed.topology.Scope;
import dockshed.topology.ZoneMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * What this broker knows about the other scopes: a few summaries of each, of which it uses the median. Invariants:
 * <ul>
 * <li>The summaries held of a scope are of different makers and came from different brokers, so one broker that lies is
 * behind at most one of them, and with {@link #MAX_SUMMARIES_PER_SCOPE} held it cannot move the median beyond what the
 * others report.
 * <li>A summary is relayed only by a broker that received it from its maker, and a broker sends only summaries of its
 * own making about its own scope: what a relay forges goes no further than the brokers to which it sends it.
 * <li>A summary is removed {@link #MAX_AGE_US} after it was made, however often it is received again.
 * </ul>
 */
final class ScopeSummaryStore {
    /** Maximum number of summaries held of one scope. */
    static final int MAX_SUMMARIES_PER_SCOPE = 3;
    /** Microseconds after which a summary is not used any more: its scope is down or cut off. */
    static final long MAX_AGE_US = 6_000_000;
    /** Microseconds for which a summary is relayed. */
    static final long MAX_RELAY_AGE_US = 2_000_000;

    /** A summary and the broker that sent it here. */
    private record ReceivedSummary(ScopeSummary summary, int from) {}

    /**
     * What is known about another scope.
     *
     * @param scope   the scope
     * @param age     of the median summary, in microseconds
     * @param present number of brokers present there
     * @param load    sums over these brokers; its proposal is their median
     */
    record Estimate(Scope scope, long age, int present, LoadFigures load) {}

    private final ZoneMap zones;
    private final Scope own;
    private final List<List<ReceivedSummary>> received = new ArrayList<>(); // by scope
    private final ScopeSummary[] firstHand; // by scope: the latest received from its maker
    private int relayTurn;
    /** Summaries refused since the start. */
    long refused;

    ScopeSummaryStore(ZoneMap zones, Scope own) {
        this.zones = zones;
        this.own = own;
        for (int i = 0; i < zones.scopes().size(); i++) {
            received.add(new ArrayList<>(MAX_SUMMARIES_PER_SCOPE));
        }
        firstHand = new ScopeSummary[zones.scopes().size()];
    }

    /**
     * Records a summary from another broker; refuses and counts one that is implausible or must not be sent by that
     * broker.
     *
     * @param latestVersion the latest version that is plausible
     */
    void offer(long now, ScopeSummary summary, int from, long latestVersion) {
        if (summary == null || !zones.contains(summary.maker()) || !zones.contains(from)) {
            refused++;
            return;
        }
        Scope scope = zones.scopeOf(summary.maker());
        boolean firstHandSummary = summary.maker() == from;
        boolean relayOfOwnScope = !firstHandSummary && scope.contains(from);
        if (scope.equals(own)
                || relayOfOwnScope
                || summary.version() > latestVersion
                || !summary.isPlausible(scope.size())) {
            refused++;
            return;
        }
        if (now - summary.madeAt() > MAX_AGE_US) {
            return;
        }
        if (firstHandSummary) {
            ScopeSummary before = firstHand[scope.number()];
            if (before == null || summary.madeAt() >= before.madeAt()) {
                firstHand[scope.number()] = summary;
            }
        }
        store(new ReceivedSummary(summary, from), received.get(scope.number()));
    }

    private static void store(ReceivedSummary added, List<ReceivedSummary> held) {
        ReceivedSummary fromSender = find(held, candidate -> candidate.from() == added.from());
        ReceivedSummary fromMaker = find(
                held,
                candidate -> candidate.summary().maker() == added.summary().maker());
        if (fromSender != null) {
            // It replaces what the same broker sent before, and never another broker's.
            boolean fromAnother = fromMaker != null && fromMaker != fromSender;
            if (!fromAnother && isLater(added, fromSender)) {
                held.set(held.indexOf(fromSender), added);
            }
        } else if (fromMaker != null) {
            if (isLater(added, fromMaker)) {
                held.set(held.indexOf(fromMaker), added);
            }
        } else if (held.size() < MAX_SUMMARIES_PER_SCOPE) {
            held.add(added);
        } else {
            ReceivedSummary oldest = held.stream()
                    .min(Comparator.comparingLong(
                            candidate -> candidate.summary().madeAt()))
                    .orElseThrow();
            if (added.summary().madeAt() > oldest.summary().madeAt()) {
                held.set(held.indexOf(oldest), added);
            }
        }
    }

    private static boolean isLater(ReceivedSummary first, ReceivedSummary second) {
        if (first.summary().maker() == second.summary().maker()) {
            return first.summary().version() > second.summary().version();
        }
        return first.summary().madeAt() > second.summary().madeAt();
    }

    private static ReceivedSummary find(
            List<ReceivedSummary> held, java.util.function.Predicate<ReceivedSummary> wanted) {
        for (ReceivedSummary candidate : held) {
            if (wanted.test(candidate)) {
                return candidate;
            }
        }
        return null;
    }

    /** Removes summaries that are too old. */
    void expire(long now) {
        for (List<ReceivedSummary> held : received) {
            held.removeIf(summary -> now - summary.summary().madeAt() > MAX_AGE_US);
        }
        for (int i = 0; i < firstHand.length; i++) {
            if (firstHand[i] != null && now - firstHand[i].madeAt() > MAX_RELAY_AGE_US) {
                firstHand[i] = null;
            }
        }
    }

    /**
     * The next summary to relay, in turn over the scopes whose makers were received from directly; null if there is
     * none.
     */
    ScopeSummary nextToRelay(long now, Scope excluded) {
        for (int i = 0; i < firstHand.length; i++) {
            relayTurn = (relayTurn + 1) % firstHand.length;
            ScopeSummary summary = firstHand[relayTurn];
            if (summary != null && relayTurn != excluded.number() && now - summary.madeAt() <= MAX_RELAY_AGE_US) {
                return summary;
            }
        }
        return null;
    }

    /** Whether there is a summary of another scope that is recent enough. */
    boolean isKnown(long now, Scope scope) {
        for (ReceivedSummary held : received.get(scope.number())) {
            if (now - held.summary().madeAt() <= MAX_AGE_US) {
                return true;
            }
        }
        return false;
    }

    /** What is known about another scope; null if there is no summary that is recent enough. */
    Estimate estimate(long now, Scope scope) {
        List<ScopeSummary> held = received.get(scope.number()).stream()
                .map(ReceivedSummary::summary)
                .filter(summary -> now - summary.madeAt() <= MAX_AGE_US)
                .sorted(Comparator.comparingLong(ScopeSummary::madeAt).reversed())
                .toList();
        if (held.isEmpty()) {
            return null;
        }
        double[] demand = new double[SheddingThreshold.PRIORITY_STEPS];
        for (int i = 0; i < demand.length; i++) {
            int step = i;
            demand[step] = median(held, summary -> summary.load().demand()[step]);
        }
        LoadFigures load = new LoadFigures(
                demand,
                median(held, summary -> summary.load().accepted()),
                median(held, summary -> summary.load().rejected()),
                (int) median(held, summary -> summary.load().proposal()));
        long age = now - held.get(held.size() / 2).madeAt();
        return new Estimate(scope, age, (int) median(held, ScopeSummary::present), load);
    }

    /** What is known about all other scopes. */
    List<Estimate> estimates(long now) {
        List<Estimate> out = new ArrayList<>();
        for (Scope scope : zones.scopes()) {
            Estimate estimate = scope.equals(own) ? null : estimate(now, scope);
            if (estimate != null) {
                out.add(estimate);
            }
        }
        return out;
    }

    /** The lower median. Each snapshot needs it about two hundred times, hence no streams. */
    private static double median(Collection<ScopeSummary> summaries, ToDoubleFunction<ScopeSummary> figure) {
        double[] sorted = new double[summaries.size()];
        int count = 0;
        for (ScopeSummary summary : summaries) {
            sorted[count++] = figure.applyAsDouble(summary);
        }
        Arrays.sort(sorted);
        return sorted[(count - 1) / 2];
    }

    /** Number of summaries held, of all scopes. */
    int size() {
        return received.stream().mapToInt(List::size).sum();
    }

    /** Removes everything, as after a start. */
    void clear() {
        received.forEach(List::clear);
        Arrays.fill(firstHand, null);
    }
}
