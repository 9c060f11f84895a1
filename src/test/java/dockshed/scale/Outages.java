package dockshed.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** When brokers did not run and links were cut, by the script: what a broker may rightly be called dead for. */
final class Outages {
    private static final long NO_END_MILLIS = Long.MAX_VALUE;

    private record Span(long from, long until) {
        boolean overlaps(long begin, long end) {
            return from <= end && until >= begin;
        }
    }

    private record CutSpan(BitSet from, BitSet to, Span span) {
        boolean separates(int a, int b) {
            return from.get(a) && to.get(b) || from.get(b) && to.get(a);
        }
    }

    private final Map<Integer, List<Span>> brokerOutages = new HashMap<>();
    private final List<CutSpan> cuts = new ArrayList<>();

    /** A broker does not run from now on. */
    void down(int broker, long atMillis) {
        brokerOutages.computeIfAbsent(broker, x -> new ArrayList<>()).add(new Span(atMillis, NO_END_MILLIS));
    }

    void up(int broker, long atMillis) {
        List<Span> spans = brokerOutages.getOrDefault(broker, List.of());
        if (!spans.isEmpty()) {
            Span last = spans.get(spans.size() - 1);
            spans.set(spans.size() - 1, new Span(last.from(), Math.min(last.until(), atMillis)));
        }
    }

    void paused(int broker, long fromMillis, long untilMillis) {
        brokerOutages.computeIfAbsent(broker, x -> new ArrayList<>()).add(new Span(fromMillis, untilMillis));
    }

    void cut(BitSet from, BitSet to, long atMillis) {
        cuts.add(new CutSpan(from, to, new Span(atMillis, NO_END_MILLIS)));
    }

    void healed(long atMillis) {
        cuts.replaceAll(cut -> cut.span().until() == NO_END_MILLIS
                ? new CutSpan(cut.from(), cut.to(), new Span(cut.span().from(), atMillis))
                : cut);
    }

    /** Whether two brokers ran and reached one another all the time between. */
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
