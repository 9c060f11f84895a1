package dockshed.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.Outcome;
import dockshed.core.BrokerHarness;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * A model of what viewers' connections owe, against random steps. A session is ASKED, then STANDS or is over; an
 * ASKED one is answered once, on its own connection or, that gone, not at all; the end of one that stood is told once,
 * on its own connection, else on any open one that asked, else on the next that asks.
 */
class ConnectionModelTest {
    private enum At {
        ASKED,
        STANDS,
        OVER
    }

    private static final class Viewer {
        At at = At.ASKED;
        final int connection;
        int steps; // since it asked

        Viewer(int connection) {
            this.connection = connection;
        }
    }

    private final BrokerHarness stage = new BrokerHarness();
    private final RtspFront front = new RtspFront(stage.broker, stage, () -> stage.now, stage.timers, 100);
    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private final Set<Integer> requesters = new HashSet<>(); // connections that brought a set-up
    private final Map<String, Viewer> viewers = new LinkedHashMap<>();
    private final Map<String, Long> owed = new LinkedHashMap<>(); // since when; for eight seconds

    @Property(seed = "20261201", tries = 300)
    void whatIsOwedIsPaidOnce(
            @ForAll @Size(max = 60) List<@IntRange(max = 7) Integer> kinds, @ForAll @IntRange(max = 1000) int salt) {
        ConnectionModelTest fresh = new ConnectionModelTest();
        fresh.stage.onOutcome = id -> fresh.stage.actions.refuse(id, 0);
        int turn = salt;
        for (int kind : kinds) {
            turn = (turn * 31 + 17) % 9973;
            fresh.step(kind, turn);
        }
    }

    private void step(int kind, int pick) {
        Map<Integer, List<String>> due = new LinkedHashMap<>();
        List<String> anywhere = new ArrayList<>();
        int c = channels.isEmpty() ? -1 : pick % channels.size();
        String name = viewers.isEmpty() ? "" : new ArrayList<>(viewers.keySet()).get(pick / 7 % viewers.size());
        Viewer v = viewers.get(name);
        if (kind == 0) {
            channels.add(new EmbeddedChannel(front.accept()));
        } else if (kind == 1 && c >= 0) {
            channels.get(c).close();
            viewers.values().stream()
                    .filter(x -> x.connection == c && x.at == At.ASKED)
                    .forEach(x -> x.at = At.OVER);
        } else if (kind <= 3 && c >= 0 && channels.get(c).isOpen()) {
            String fresh = RtspFrontTest.sessionId(viewers.size());
            viewers.put(fresh, new Viewer(c));
            RtspFrontTest.send(channels.get(c), RtspFrontTest.setUpMessage(fresh, ""));
            requesters.add(c);
            owed.values().removeIf(since -> stage.now - since >= 8 * BrokerHarness.SECOND_US);
            due.put(c, new ArrayList<>(owed.keySet()));
            owed.clear();
        } else if (kind == 4 && v != null) {
            stage.broker.setUpAnswered(stage.now, "a", name, "");
            if (v.at == At.ASKED) {
                v.at = At.STANDS;
                due.put(v.connection, List.of("200 " + name));
            }
        } else if (kind == 5 && v != null) {
            stage.ended("a", name, Outcome.FULL);
            if (v.at == At.ASKED) {
                due.put(v.connection, List.of("453 " + name));
            } else if (v.at == At.STANDS) {
                anywhere.add(name);
            }
            v.at = At.OVER;
        } else if (kind == 6 && v != null) {
            stage.broker.cancel(stage.now, name);
            v.at = At.OVER;
        } else if (kind == 7 && v != null) {
            stage.ended("a", name, Outcome.CANCELLED);
            if (v.at == At.ASKED) {
                due.put(v.connection, List.of("453 " + name));
            }
            v.at = At.OVER;
        }
        if (!anywhere.isEmpty()
                && requesters.stream().noneMatch(i -> channels.get(i).isOpen())) {
            anywhere.forEach(end -> owed.put(end, stage.now));
            anywhere.clear();
        }
        check(due, anywhere, v);
        stage.advance(400
                * BrokerHarness
                        .MILLISECOND_US); // so that no end may be taken for unheard; a request lives for eight steps
        Map<Integer, List<String>> late = new LinkedHashMap<>();
        viewers.forEach((id, x) -> {
            if (++x.steps == 8 && x.at == At.ASKED) {
                x.at = At.OVER;
                late.computeIfAbsent(x.connection, k -> new ArrayList<>()).add("453 " + id); // as the module says
            }
        });
        check(late, List.of(), null);
    }

    /** Compares what the connections carried; {@code anywhere}: ends that any one may have carried. */
    private void check(Map<Integer, List<String>> due, List<String> anywhere, Viewer own) {
        List<String> left = new ArrayList<>(anywhere);
        for (int i = 0; i < channels.size(); i++) {
            List<String> expected = new ArrayList<>(due.getOrDefault(i, List.of()));
            for (String text : RtspFrontTest.received(channels.get(i))) {
                String id = text.replaceAll("(?s).*\r\nSession: ([0-9a-f]+).*", "$1");
                if (text.startsWith("TEARDOWN")) {
                    boolean mine = own == null
                            || own.connection == i
                            || !channels.get(own.connection).isOpen();
                    assertTrue(expected.remove(id) || mine && left.remove(id), "an end not owed: " + text);
                } else {
                    assertTrue(expected.remove(text.split(" ")[1] + " " + id), "an answer not owed: " + text);
                }
            }
            assertEquals(List.of(), expected, "owed and not paid");
        }
        assertEquals(List.of(), left, "ends not told");
    }
}
