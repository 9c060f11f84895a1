package dockshed.names;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.Director.State;
import dockshed.names.DnsTest.AnswerBuilder;
import dockshed.names.RecordQuestions.Question;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Updates of lists of several hundred servers, of which an answer of 8,000 bytes holds only a part. */
class EdgeServerListUpdaterTest {
    private static final int MAX_ANSWER_BYTES = 8000;
    private final EdgeServerList list = new EdgeServerList();
    private final EdgeServerListUpdater updater = new EdgeServerListUpdater(list, DnsDiscovery.SERVICE_NAME);
    private long now = 10_000_000;

    private static String target(int i) {
        return String.format("s-%08x.east.hosts", i);
    }

    private void addKnownServers(int count) {
        List<ListedServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new ListedServer(
                    new Server(String.format("s-%08x", i), "east", "std", i % 7, State.UP, 4, 0),
                    new InetSocketAddress("127.0.0.1", 5000)));
        }
        list.applyConfigured(5, ListScope.DISK, servers);
    }

    private static AnswerBuilder listAnswer(int from, int to, int serial, int draining) {
        AnswerBuilder answer = new AnswerBuilder(1, DnsDiscovery.SERVICE_NAME, Dns.SRV);
        answer.soa(serial);
        for (int i = from; i < to; i++) {
            answer.srv(target(i), i == draining ? 1 : 0, 40, 5000);
        }
        return answer;
    }

    private static String describe(List<Server> changes) {
        return changes.stream().map(s -> s.id() + " " + s.state()).toList().toString();
    }

    /** All questions that are asked now. */
    private List<Question> questions() {
        List<Question> questions = new ArrayList<>();
        for (Question question = updater.nextQuestion(now); question != null; question = updater.nextQuestion(now)) {
            questions.add(question);
        }
        return questions;
    }

    private List<Server> reply(Question question, String... texts) throws Exception {
        AnswerBuilder answer = new AnswerBuilder(1, question.target(), question.type());
        return updater.applyRecordAnswer(
                question,
                Dns.parse((question.type() == Dns.A
                                ? answer.a(question.target(), 9)
                                : answer.txt(question.target(), texts))
                        .bytes()),
                now);
    }

    @Test
    void truncatedAnswerAppliesDrainsAndRemovesNoServer() throws Exception {
        // Guards against ignoring truncated answers as a whole: with more than about 200 servers no drain was noticed.
        addKnownServers(1024);
        byte[] truncated = listAnswer(0, 1024, 6, 3).truncated(MAX_ANSWER_BYTES);
        assertEquals("[s-00000003 DRAINING]", describe(updater.applyListAnswer(Dns.parse(truncated), now)));
        assertEquals(1024, list.all().size());
        assertEquals(6, list.serial());
        for (int i = 20; i < truncated.length; i += 97) { // truncated anywhere, also within a record
            byte[] shorter = listAnswer(0, 1024, 6, 3).truncated(i);
            try {
                updater.applyListAnswer(Dns.parse(shorter), now);
            } catch (Dns.MalformedMessageException e) {
                assertTrue(i < 100, "only a header: " + i);
            }
            assertEquals(1024, list.all().size());
        }
    }

    @Test
    void serversMissingFromATruncatedAnswerAreAskedForByName() throws Exception {
        addKnownServers(300);
        updater.applyListAnswer(Dns.parse(listAnswer(0, 100, 6, -1).truncated(MAX_ANSWER_BYTES)), now);
        ArrayDeque<String> gone = new ArrayDeque<>();
        int asked = 0;
        int listQueries = 0;
        for (; listQueries < 200 && gone.isEmpty(); listQueries++) {
            List<Question> questions = questions();
            assertTrue(
                    questions.size() <= RecordQuestions.MAX_REFRESHES_PER_LIST,
                    "a few per list query: " + questions.size());
            asked += questions.size();
            for (Question question : questions) {
                if (question.target().equals(target(200))) {
                    gone.add(describe(updater.applyRecordAnswer(
                            question,
                            Dns.parse(new AnswerBuilder(1, question.target(), question.type())
                                    .responseCode(3)
                                    .bytes()),
                            now)));
                } else {
                    assertEquals(
                            List.of(),
                            reply(
                                    question,
                                    "kind=std",
                                    "cell=" + Integer.parseInt(question.target().substring(2, 10), 16) % 7,
                                    "started=0"));
                }
            }
            updater.applyListAnswer(Dns.parse(listAnswer(0, 100, 6, -1).truncated(MAX_ANSWER_BYTES)), now);
        }
        assertEquals("[s-000000c8 GONE]", gone.peek());
        assertTrue(asked <= 300, "each once: " + asked);
        assertEquals(299, list.all().size());
    }

    @Test
    void truncatedAnswerWithTheSameSerialStillAppliesDrains() throws Exception {
        // Guards against lost drains: once all questions were answered, further answers with the same serial were
        // ignored.
        addKnownServers(300);
        updater.applyListAnswer(Dns.parse(listAnswer(0, 100, 6, -1).truncated(MAX_ANSWER_BYTES)), now);
        for (List<Question> questions = questions(); !questions.isEmpty(); questions = questions()) {
            for (Question question : questions) {
                reply(
                        question,
                        "kind=std",
                        "cell=" + Integer.parseInt(question.target().substring(2, 10), 16) % 7,
                        "started=0");
            }
            updater.applyListAnswer(Dns.parse(listAnswer(0, 100, 6, -1).truncated(MAX_ANSWER_BYTES)), now);
        }
        assertTrue(updater.isSettled());
        assertEquals(
                "[s-00000078 DRAINING]",
                describe(updater.applyListAnswer(
                        Dns.parse(listAnswer(100, 200, 6, 120).truncated(MAX_ANSWER_BYTES)), now)));
    }

    @Test
    void truncatedAnswerWithoutASerialRevokesNoDrain() throws Exception {
        addKnownServers(3);
        assertEquals(
                "[s-00000001 DRAINING]",
                describe(
                        updater.applyListAnswer(Dns.parse(listAnswer(0, 3, 6, 1).bytes()), now)));
        AnswerBuilder withoutSerial = new AnswerBuilder(1, DnsDiscovery.SERVICE_NAME, Dns.SRV);
        withoutSerial.srv(target(1), 0, 40, 5000).srv(target(2), 1, 40, 5000);
        assertEquals(
                "[s-00000002 DRAINING]",
                describe(updater.applyListAnswer(Dns.parse(withoutSerial.truncated(MAX_ANSWER_BYTES)), now)));
        AnswerBuilder complete = new AnswerBuilder(1, DnsDiscovery.SERVICE_NAME, Dns.SRV).srv(target(1), 0, 40, 5000);
        assertThrows(
                Dns.MalformedMessageException.class,
                () -> updater.applyListAnswer(Dns.parse(complete.bytes()), now),
                "not truncated: a serial is required");
    }

    @Test
    void newServersAreAskedForAFewAtATimeAndOnce() throws Exception {
        // Guards against a flood of queries: each list query, every 250 ms, asked for all missing records at once and
        // discarded what the previous one had collected.
        assertEquals(
                List.of(),
                updater.applyListAnswer(Dns.parse(listAnswer(0, 300, 9, -1).bytes()), now));
        int asked = 0;
        for (int listQuery = 0; listQuery < 100 && list.all().size() < 300; listQuery++) {
            List<Question> questions = questions();
            assertTrue(questions.size() <= RecordQuestions.MAX_OPEN, "concurrent questions: " + questions.size());
            asked += questions.size();
            for (Question question : questions) {
                reply(question, "kind=std", "cell=4", "started=0");
            }
            updater.applyListAnswer(
                    Dns.parse(listAnswer(0, 300, listQuery < 50 ? 9 + listQuery : 60, -1)
                            .bytes()),
                    now);
        }
        assertEquals(300, list.all().size());
        assertEquals(4, list.all().get(299).server().cell());
        assertTrue(asked >= 600 && asked < 900, "two per server, and some TXT records once more: " + asked);
    }

    @Test
    void knownServersAreOnlyAskedForTheirTextWhichShowsARestart() throws Exception {
        addKnownServers(4);
        assertEquals(
                "[s-00000002 DRAINING]",
                describe(
                        updater.applyListAnswer(Dns.parse(listAnswer(0, 4, 6, 2).bytes()), now)),
                "a drain needs no further record");
        List<Question> questions = questions();
        assertTrue(questions.stream().allMatch(question -> question.type() == Dns.TXT), questions.toString());
        List<Server> changes = reply(questions.get(0), "kind=std", "cell=0", "started=1500");
        assertEquals(1_500_000, changes.get(0).upSince());
        now += RecordQuestions.TIMEOUT_US + 1;
        assertEquals(3, questions().size(), "the unanswered ones once more, and no others");
        for (Question question : questions.subList(1, 4)) {
            reply(
                    question,
                    "kind=std",
                    "cell=" + Integer.parseInt(question.target().substring(2, 10), 16),
                    "started=0");
        }
        assertEquals(
                List.of(),
                updater.applyListAnswer(Dns.parse(listAnswer(0, 4, 6, 2).bytes()), now));
        assertNull(updater.nextQuestion(now), "no question is left");
    }

    @Test
    void lowerSerialChangesNothing() throws Exception {
        addKnownServers(2);
        assertNull(updater.applyListAnswer(Dns.parse(listAnswer(0, 1, 4, 0).bytes()), now));
        assertEquals(2, list.all().size());
        assertFalse(list.all().get(0).server().state() == State.DRAINING);
    }
}
