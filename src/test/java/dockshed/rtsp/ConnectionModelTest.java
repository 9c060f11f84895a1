package dockshed.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.Outcome;
import dockshed.core.BrokerHarness;
import dockshed.net.InputLimits;
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
 * Compares what viewers' connections receive with a model, over random steps. A session is REQUESTED, then ACTIVE or
 * ENDED. A requested one is answered once, on its own connection; if that has closed, not at all. The end of an
 * active one is sent once: on its own connection, else on any open connection that has brought a set-up, else on the
 * next that does.
 */
class ConnectionModelTest {
    private enum State {
        REQUESTED,
        ACTIVE,
        ENDED
    }

    private static final class Viewer {
        State state = State.REQUESTED;
        final int connection;
        int steps; // since its request

        Viewer(int connection) {
            this.connection = connection;
        }
    }

    private final BrokerHarness harness = new BrokerHarness();
    private final RtspFront front = new RtspFront(
            harness.broker, harness, () -> harness.now, harness.timers, 100, InputLimits.unlimitedMemory());
    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private final Set<Integer> requesters = new HashSet<>(); // indexes of connections that have brought a set-up
    private final Map<String, Viewer> viewers = new LinkedHashMap<>();
    /** Ends of sessions that could not be sent yet, with the time of each; kept for eight seconds. */
    private final Map<String, Long> pendingEnds = new LinkedHashMap<>();

    @Property(seed = "20261201", tries = 300)
    void everyAnswerAndEndIsSentOnce(
            @ForAll @Size(max = 60) List<@IntRange(max = 7) Integer> kinds,
            @ForAll @IntRange(max = 1000) int pickSeed) {
        ConnectionModelTest model = new ConnectionModelTest();
        model.harness.onOutcome = id -> model.harness.actions.refuse(id, 0);
        int pick = pickSeed;
        for (int kind : kinds) {
            pick = (pick * 31 + 17) % 9973;
            model.step(kind, pick);
        }
    }

    private void step(int kind, int pick) {
        Map<Integer, List<String>> expected = new LinkedHashMap<>();
        List<String> expectedAnywhere = new ArrayList<>();
        int index = channels.isEmpty() ? -1 : pick % channels.size();
        String name = viewers.isEmpty() ? "" : new ArrayList<>(viewers.keySet()).get(pick / 7 % viewers.size());
        Viewer viewer = viewers.get(name);
        if (kind == 0) {
            channels.add(new EmbeddedChannel(front.accept()));
        } else if (kind == 1 && index >= 0) {
            channels.get(index).close();
            viewers.values().stream()
                    .filter(other -> other.connection == index && other.state == State.REQUESTED)
                    .forEach(other -> other.state = State.ENDED);
        } else if (kind <= 3 && index >= 0 && channels.get(index).isOpen()) {
            String session = RtspFrontTest.sessionId(viewers.size());
            viewers.put(session, new Viewer(index));
            RtspFrontTest.send(channels.get(index), RtspFrontTest.setUpMessage(session, ""));
            requesters.add(index);
            pendingEnds.values().removeIf(since -> harness.now - since >= 8 * BrokerHarness.SECOND_US);
            expected.put(index, new ArrayList<>(pendingEnds.keySet()));
            pendingEnds.clear();
        } else if (kind == 4 && viewer != null) {
            harness.broker.setUpAnswered(harness.now, "a", name, "");
            if (viewer.state == State.REQUESTED) {
                viewer.state = State.ACTIVE;
                expected.put(viewer.connection, List.of("200 " + name));
            }
        } else if (kind == 5 && viewer != null) {
            harness.ended("a", name, Outcome.FULL);
            if (viewer.state == State.REQUESTED) {
                expected.put(viewer.connection, List.of("453 " + name));
            } else if (viewer.state == State.ACTIVE) {
                expectedAnywhere.add(name);
            }
            viewer.state = State.ENDED;
        } else if (kind == 6 && viewer != null) {
            harness.broker.cancel(harness.now, name);
            viewer.state = State.ENDED;
        } else if (kind == 7 && viewer != null) {
            harness.ended("a", name, Outcome.CANCELLED);
            if (viewer.state == State.REQUESTED) {
                expected.put(viewer.connection, List.of("453 " + name));
            }
            viewer.state = State.ENDED;
        }
        if (!expectedAnywhere.isEmpty()
                && requesters.stream().noneMatch(i -> channels.get(i).isOpen())) {
            expectedAnywhere.forEach(end -> pendingEnds.put(end, harness.now));
            expectedAnywhere.clear();
        }
        check(expected, expectedAnywhere, viewer);
        // Each step lasts longer than the window in which an end is sent again; a request times out after eight steps.
        harness.advance(400 * BrokerHarness.MILLISECOND_US);
        Map<Integer, List<String>> timedOut = new LinkedHashMap<>();
        viewers.forEach((id, other) -> {
            if (++other.steps == 8 && other.state == State.REQUESTED) {
                other.state = State.ENDED;
                timedOut.computeIfAbsent(other.connection, k -> new ArrayList<>())
                        .add("453 " + id); // as onOutcome refuses it
            }
        });
        check(timedOut, List.of(), null);
    }

    /**
     * Compares the messages received with the expected ones.
     *
     * @param expectedByConnection answers and ends per connection
     * @param expectedAnywhere sessions whose end any connection may carry
     * @param target the viewer of the step, whose own connection carries the end if it is open; null if none
     */
    private void check(Map<Integer, List<String>> expectedByConnection, List<String> expectedAnywhere, Viewer target) {
        List<String> missingEnds = new ArrayList<>(expectedAnywhere);
        for (int i = 0; i < channels.size(); i++) {
            List<String> expected = new ArrayList<>(expectedByConnection.getOrDefault(i, List.of()));
            for (String text : RtspFrontTest.received(channels.get(i))) {
                String id = text.replaceAll("(?s).*\r\nSession: ([0-9a-f]+).*", "$1");
                if (text.startsWith("TEARDOWN")) {
                    boolean mayCarryEnd = target == null
                            || target.connection == i
                            || !channels.get(target.connection).isOpen();
                    assertTrue(expected.remove(id) || mayCarryEnd && missingEnds.remove(id), "unexpected end: " + text);
                } else {
                    assertTrue(expected.remove(text.split(" ")[1] + " " + id), "unexpected answer: " + text);
                }
            }
            assertEquals(List.of(), expected, "expected and not received");
        }
        assertEquals(List.of(), missingEnds, "ends not received");
    }
}
