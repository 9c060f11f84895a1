package dockshed.names;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.Server;
import dockshed.Director.State;
import dockshed.names.Dns.Answer;
import dockshed.names.DnsTest.AnswerBuilder;
import dockshed.names.RecordQuestions.Question;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The list of edge servers while its name server's answers are lost, failed, cut short, late or outdated, in random
 * order. Edge servers come, drain, restart and go. On a virtual clock; the seed decides everything.
 */
class DiscoveryFaultsTest {
    private static final int RUNS_PER_SEED = 150;
    private static final int STEPS = 150;
    private static final int CALM_STEPS = 60;
    private static final int CELLS = 12;
    private static final int SERVER_FAILURE = 2;

    /** What the name server knows after an event. */
    private record Event(int serial, Map<String, Server> servers) {}

    /** An answer on its way; {@code question} is null for a list. */
    private record Delivery(long at, Question question, byte[] bytes) {}

    /** One run: a name server, what is on its way from it, and the list that comes of it. */
    private static final class Run {
        final Random random;
        final boolean listsHoldAllRecords;
        final EdgeServerList list = new EdgeServerList();
        final EdgeServerListUpdater updater = new EdgeServerListUpdater(list, DnsDiscovery.SERVICE_NAME);
        final List<Event> events = new ArrayList<>();
        final List<Delivery> deliveries = new ArrayList<>();
        final Set<String> toldDraining = new HashSet<>();
        final Set<String> toldGone = new HashSet<>();
        int created;
        long now = 10_000_000;
        boolean faults = true;

        Run(long seed) {
            random = new Random(seed);
            listsHoldAllRecords = random.nextBoolean();
            events.add(new Event(1, new LinkedHashMap<>()));
            for (int i = 0; i < 12; i++) {
                addEvent(this::create);
            }
        }

        Event latest() {
            return events.get(events.size() - 1);
        }

        void addEvent(java.util.function.Consumer<Map<String, Server>> change) {
            Map<String, Server> servers = new LinkedHashMap<>(latest().servers());
            change.accept(servers);
            events.add(new Event(latest().serial() + 1, servers));
        }

        void create(Map<String, Server> servers) {
            String id = "s" + created++;
            servers.put(id, new Server(id, "east", "std", 1 + random.nextInt(CELLS - 1), State.UP, 4, 0));
        }

        /** A server drains, one that drains leaves, one restarts, or a new one comes. */
        void changeSomething(Map<String, Server> servers) {
            List<Server> all = List.copyOf(servers.values());
            Server server = all.isEmpty() ? null : all.get(random.nextInt(all.size()));
            if (server == null || random.nextInt(3) == 0) {
                create(servers);
            } else if (server.state() == State.DRAINING) {
                servers.remove(server.id());
            } else if (random.nextBoolean()) {
                servers.put(server.id(), server.withState(State.DRAINING));
            } else {
                servers.put(
                        server.id(),
                        new Server(
                                server.id(), "east", "std", server.cell(), State.UP, 4, now / 1_000_000 * 1_000_000));
            }
        }

        static String target(String id) {
            return id + ".east.hosts";
        }

        static AnswerBuilder text(AnswerBuilder answer, Server server) {
            return answer.txt(
                    target(server.id()), "kind=std", "cell=" + server.cell(), "started=" + server.upSince() / 1000);
        }

        AnswerBuilder listAnswer() {
            boolean outdated = faults && random.nextInt(6) == 0;
            Event event = outdated ? events.get(random.nextInt(events.size())) : latest();
            AnswerBuilder answer = new AnswerBuilder(1, DnsDiscovery.SERVICE_NAME, Dns.SRV);
            boolean serialFirst = random.nextInt(4) == 0;
            if (serialFirst) {
                answer.soa(event.serial());
            }
            for (Server server : event.servers().values()) {
                answer.srv(target(server.id()), server.state() == State.UP ? 0 : 1, 40, 5000);
            }
            if (!serialFirst) {
                answer.soa(event.serial());
            }
            if (listsHoldAllRecords) {
                event.servers().values().forEach(server -> answer.a(target(server.id()), 9));
                event.servers().values().forEach(server -> text(answer, server));
            }
            return answer;
        }

        AnswerBuilder recordAnswer(Question question) {
            AnswerBuilder answer = new AnswerBuilder(1, question.target(), question.type());
            Server server = latest().servers().get(question.target().split("\\.")[0]);
            if (server == null) {
                return answer.responseCode(Dns.NXDOMAIN);
            }
            return question.type() == Dns.A ? answer.a(question.target(), 9) : text(answer, server);
        }

        /** Sends the answer, or what the disturbed network makes of it. */
        void send(Question question, AnswerBuilder answer) {
            int questionBytes = 12 + (question == null ? DnsDiscovery.SERVICE_NAME : question.target()).length() + 6;
            long delay = 1 + random.nextInt(20_000);
            int fault = faults ? random.nextInt(10) : -1;
            if (fault == 0) {
                return; // lost
            }
            if (fault == 1) {
                delay += random.nextInt(3_000_000);
            }
            if (fault == 2) {
                answer.responseCode(SERVER_FAILURE);
            }
            byte[] bytes = answer.bytes();
            if (fault >= 3 && fault <= 6) {
                bytes = answer.truncated(questionBytes + random.nextInt(bytes.length - questionBytes + 1));
            }
            deliveries.add(new Delivery(now + delay, question, bytes));
        }

        /** A quarter of a second: the list is queried, what it lacks is asked for, and what is due arrives. */
        void step() throws Exception {
            send(null, listAnswer());
            askQuestions();
            now += DnsDiscovery.QUERY_INTERVAL_US;
            deliveries.sort(java.util.Comparator.comparingLong(Delivery::at));
            while (!deliveries.isEmpty() && deliveries.get(0).at() <= now) {
                deliver(deliveries.remove(0));
                askQuestions();
                deliveries.sort(java.util.Comparator.comparingLong(Delivery::at));
            }
        }

        void askQuestions() {
            for (Question question = updater.nextQuestion(now);
                    question != null;
                    question = updater.nextQuestion(now)) {
                send(question, recordAnswer(question));
            }
        }

        void deliver(Delivery delivery) throws Exception {
            Answer answer = Dns.parse(delivery.bytes());
            if (delivery.question() == null && answer.responseCode() != Dns.NO_ERROR) {
                return; // see DnsDiscovery
            }
            List<Server> changes = delivery.question() == null
                    ? updater.applyListAnswer(answer, now)
                    : updater.applyRecordAnswer(delivery.question(), answer, now);
            check(changes == null ? List.of() : changes);
            if (changes != null) {
                checkDrains(answer);
            }
        }

        void check(List<Server> changes) {
            for (Server change : changes) {
                Server actual = latest().servers().get(change.id());
                if (change.state() == State.GONE) {
                    assertEquals(null, actual, "removed, and still there");
                    toldGone.add(change.id());
                } else {
                    assertFalse(toldGone.contains(change.id()), () -> "listed again after its removal: " + change);
                    Server ever = everKnown(change.id());
                    assertEquals(ever.cell(), change.cell(), "cell of " + change);
                    assertEquals("std", change.kind(), "kind of " + change);
                }
            }
        }

        /** A drain that an answer has told is heeded from then on. */
        void checkDrains(Answer answer) {
            for (Dns.Record record : answer.records()) {
                if (record.type() == Dns.SRV && record.priority() == 1) {
                    toldDraining.add(record.target().split("\\.")[0]);
                }
            }
            for (ListedServer listed : list.all()) {
                boolean revoked = listed.server().state() == State.UP
                        && toldDraining.contains(listed.server().id());
                assertFalse(revoked, () -> "drain not heeded: " + listed);
            }
        }

        Server everKnown(String id) {
            return events.stream()
                    .map(event -> event.servers().get(id))
                    .filter(java.util.Objects::nonNull)
                    .findFirst()
                    .orElseThrow();
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void listIsNeverWrongAndIsWholeOnceAnswersAreGood(long seed) throws Exception {
        // Guards against all ways in which an answer that is not whole, late or outdated could make an edge server
        // gone,
        // put it into another cell, or revoke its drain.
        for (int i = 0; i < RUNS_PER_SEED; i++) {
            Run run = new Run(seed * RUNS_PER_SEED + i);
            for (int step = 0; step < STEPS; step++) {
                if (run.random.nextInt(8) == 0) {
                    run.addEvent(run::changeSomething);
                }
                run.step();
            }
            run.faults = false;
            for (int step = 0; step < CALM_STEPS; step++) {
                run.step();
            }
            Map<String, Server> listed = new LinkedHashMap<>();
            run.list.all().forEach(entry -> listed.put(entry.server().id(), entry.server()));
            assertEquals(run.latest().servers(), listed, "run " + i);
            assertTrue(run.updater.isSettled());
        }
    }
}
