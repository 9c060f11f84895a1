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
 * What this broker knows of the other scopes: for each a few summaries, and of them the median. Invariants:
 *
 * <ul>
 *   <li>The summaries held of a scope are of different makers and came from different brokers, so one broker that lies
 *       stands behind one of them at most, and with {@link #MAX_SUMMARIES_PER_SCOPE} held it does not move the median beyond what the
 *       others say.
 *   <li>A summary is relayed only by a broker that had it from its maker, and a broker's word on its own scope is its own:
 *       what a relay forges goes no further than to whom it is sent.
 *   <li>A summary is forgotten {@link #MAX_AGE_US} after it was made, however often it is sent again.
 * </ul>
 */
final class ScopeSummaryStore {
    /** Summaries held of one scope. */
    static final int MAX_SUMMARIES_PER_SCOPE = 3;
    /** Microseconds after which a summary says nothing any more: its scope is gone, or cut off. */
    static final long MAX_AGE_US = 6_000_000;
    /** Microseconds for which a summary is relayed. */
    static final long MAX_RELAY_AGE_US = 2_000_000;

    /** A summary and the broker that sent it here. */
    private record ReceivedSummary(ScopeSummary summary, int from) {}

    /**
     * What is known of another scope.
     *
     * @param scope   that it is of
     * @param age     of the median summary, in microseconds
     * @param present brokers that are present there
     * @param load    sums over these; its proposal is their median one
     */
    record Estimate(Scope scope, long age, int present, LoadFigures load) {}

    private final ZoneMap zones;
    private final Scope own;
    private final List<List<ReceivedSummary>> received = new ArrayList<>(); // by scope
    private final ScopeSummary[] firstHand; // by scope: the latest that came from its maker
    private int relayTurn;
    /** Summaries that were refused, since the start. */
    long refused;

    ScopeSummaryStore(ZoneMap zones, Scope own) {
        this.zones = zones;
        this.own = own;
        for (int i = 0; i < zones.scopes().size(); i++) {
            received.add(new ArrayList<>(MAX_SUMMARIES_PER_SCOPE));
        }
        firstHand = new ScopeSummary[zones.scopes().size()];
    }

    /** Takes in a summary that a broker sent; one that cannot be, or is not that broker's to send, is counted and refused. */
    void offer(long now, ScopeSummary summary, int from, long latestVersion) {
        if (summary == null || !zones.contains(summary.maker()) || !zones.contains(from)) {
            refused++;
            return;
        }
        Scope scope = zones.scopeOf(summary.maker());
        boolean ownWord = summary.maker() == from;
        boolean relayOfOwnScope = !ownWord && scope.contains(from);
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
        if (ownWord) {
            ScopeSummary before = firstHand[scope.number()];
            if (before == null || summary.madeAt() >= before.madeAt()) {
                firstHand[scope.number()] = summary;
            }
        }
        store(new ReceivedSummary(summary, from), received.get(scope.number()));
    }

    private static void store(ReceivedSummary voice, List<ReceivedSummary> held) {
        ReceivedSummary ofSender = find(held, v -> v.from() == voice.from());
        ReceivedSummary ofMaker =
                find(held, v -> v.summary().maker() == voice.summary().maker());
        if (ofSender != null) {
            // It replaces what the same broker sent before, and never another's.
            boolean ofAnother = ofMaker != null && ofMaker != ofSender;
            if (!ofAnother && isLater(voice, ofSender)) {
                held.set(held.indexOf(ofSender), voice);
            }
        } else if (ofMaker != null) {
            if (isLater(voice, ofMaker)) {
                held.set(held.indexOf(ofMaker), voice);
            }
        } else if (held.size() < MAX_SUMMARIES_PER_SCOPE) {
            held.add(voice);
        } else {
            ReceivedSummary oldest = held.stream()
                    .min(Comparator.comparingLong(v -> v.summary().madeAt()))
                    .orElseThrow();
            if (voice.summary().madeAt() > oldest.summary().madeAt()) {
                held.set(held.indexOf(oldest), voice);
            }
        }
    }

    private static boolean isLater(ReceivedSummary voice, ReceivedSummary than) {
        if (voice.summary().maker() == than.summary().maker()) {
            return voice.summary().version() > than.summary().version();
        }
        return voice.summary().madeAt() > than.summary().madeAt();
    }

    private static ReceivedSummary find(
            List<ReceivedSummary> held, java.util.function.Predicate<ReceivedSummary> wanted) {
        for (ReceivedSummary voice : held) {
            if (wanted.test(voice)) {
                return voice;
            }
        }
        return null;
    }

    /** Forgets what is too old. */
    void expire(long now) {
        for (List<ReceivedSummary> held : received) {
            held.removeIf(voice -> now - voice.summary().madeAt() > MAX_AGE_US);
        }
        for (int i = 0; i < firstHand.length; i++) {
            if (firstHand[i] != null && now - firstHand[i].madeAt() > MAX_RELAY_AGE_US) {
                firstHand[i] = null;
            }
        }
    }

    /** The next summary to relay, in turn over the scopes that were heard of first hand; null: there is none. */
    ScopeSummary nextToRelay(long now, Scope but) {
        for (int i = 0; i < firstHand.length; i++) {
            relayTurn = (relayTurn + 1) % firstHand.length;
            ScopeSummary summary = firstHand[relayTurn];
            if (summary != null && relayTurn != but.number() && now - summary.madeAt() <= MAX_RELAY_AGE_US) {
                return summary;
            }
        }
        return null;
    }

    /** Whether anything is known of another scope that is young enough. */
    boolean isKnown(long now, Scope scope) {
        for (ReceivedSummary voice : received.get(scope.number())) {
            if (now - voice.summary().madeAt() <= MAX_AGE_US) {
                return true;
            }
        }
        return false;
    }

    /** What is known of another scope; null where nothing is that is young enough. */
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

    /** What is known of all other scopes. */
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

    /** The lower median; each snapshot needs it some two hundred times, so without streams. */
    private static double median(Collection<ScopeSummary> of, ToDoubleFunction<ScopeSummary> figure) {
        double[] sorted = new double[of.size()];
        int count = 0;
        for (ScopeSummary summary : of) {
            sorted[count++] = figure.applyAsDouble(summary);
        }
        Arrays.sort(sorted);
        return sorted[(count - 1) / 2];
    }

    /** Summaries held, of all scopes. */
    int size() {
        return received.stream().mapToInt(List::size).sum();
    }

    /** Drops everything, as after a start. */
    void clear() {
        received.forEach(List::clear);
        Arrays.fill(firstHand, null);
    }
}
