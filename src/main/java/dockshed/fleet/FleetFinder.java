package dockshed.fleet;

import dockshed.core.Finder;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Finding out by turns, as {@link Probes} says; without a view that holds this broker finds out by itself. */
public final class FleetFinder implements Finder {
    private final int me;
    private final Supplier<View> fleet;
    private final Predicate<News> tell;
    private final BiConsumer<String, Boolean> shun;

    /** {@code shun}: told of servers that are suspect, so that set-ups go elsewhere meanwhile. */
    public FleetFinder(int me, Supplier<View> fleet, Predicate<News> tell, BiConsumer<String, Boolean> shun) {
        this.me = me;
        this.fleet = fleet;
        this.tell = tell;
        this.shun = shun;
    }

    @Override
    public Verdict ask(long now, String server, Suspicion s) {
        View v = fleet.get();
        if (!v.holds(now) || !v.steady()) {
            return Verdict.TRY;
        }
        int box = Mix.of(server);
        return Probes.verdict(now, me, v.living(), box, v.words().getOrDefault(box, List.of()), s);
    }

    @Override
    public void found(String server, boolean up) {
        tell.test(new News.Found(Mix.of(server), up));
    }

    @Override
    public void suspected(String server, boolean is) {
        shun.accept(server, is);
    }
}
