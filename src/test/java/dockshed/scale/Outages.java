package dockshed.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When the script had brokers stopped or paused, and links cut: the times in which a broker is rightly declared dead.
 * Times are milliseconds of the fleet's clock.
 */
final class Outages {
    /** The end of an outage that lasts. */
    private static final long NO_END_MILLIS = Long.MAX_VALUE;

    private record Span(long from, long until) {
        boolean overlaps(long begin, long end) {
            return from <= end && until >= begin;
        }
    }

    private record CutSpan(BitSet from, BitSet to, Span span) {
        /** Whether the cut is between two brokers, in either direction. */
        boolean separates(int one, int other) {
            return from.get(one) && to.get(other) || from.get(other) && to.get(one);
        }
    }

    private final Map<Integer, List<Span>> brokerOutages = new HashMap<>();
    private final List<CutSpan> cuts = new ArrayList<>();

    /** A broker stops. */
    void down(int broker, long atMillis) {
        brokerOutages.computeIfAbsent(broker, number -> new ArrayList<>()).add(new Span(atMillis, NO_END_MILLIS));
    }

    /** A broker starts; nothing if it was not stopped. */
    void up(int broker, long atMillis) {
        List<Span> spans = brokerOutages.getOrDefault(broker, List.of());
        if (!spans.isEmpty()) {
            Span last = spans.get(spans.size() - 1);
            spans.set(spans.size() - 1, new Span(last.from(), Math.min(last.until(), atMillis)));
        }
    }

    /** A broker is paused for a known time. */
    void paused(int broker, long fromMillis, long untilMillis) {
        brokerOutages.computeIfAbsent(broker, number -> new ArrayList<>()).add(new Span(fromMillis, untilMillis));
    }

    /** Links are cut in one direction until {@link #healed}. */
    void cut(BitSet from, BitSet to, long atMillis) {
        cuts.add(new CutSpan(from, to, new Span(atMillis, NO_END_MILLIS)));
    }

    /** All cuts end. */
    void healed(long atMillis) {
        cuts.replaceAll(cut -> cut.span().until() == NO_END_MILLIS
                ? new CutSpan(cut.from(), cut.to(), new Span(cut.span().from(), atMillis))
                : cut);
    }

    /** Whether two brokers ran and could reach each other during the whole interval. */
    boolean reachable(int observer, int subject, long fromMillis, long untilMillis) {
        return ran(observer, fromMillis, untilMillis)
                && ran(subject, fromMillis, untilMillis)
                && cuts.stream()
                        .noneMatch(cut ->
                                cut.separates(observer, subject) && cut.span().overlaps(fromMillis, untilMillis));
    }

    private boolean ran(int broker, long fromMillis, long untilMillis) {
        return brokerOutages.getOrDefault(broker, List.of()).stream()
                .noneMatch(span -> span.overlaps(fromMillis, untilMillis));
    }
}
