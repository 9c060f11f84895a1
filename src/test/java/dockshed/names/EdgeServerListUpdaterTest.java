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
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Lists of some hundreds of servers, of which an answer of 8,000 bytes can tell but a part. */
class EdgeServerListUpdaterTest {
    private static final int MAX_ANSWER_BYTES = 8000;
    private final EdgeServerList list = new EdgeServerList();
    private final EdgeServerListUpdater updater = new EdgeServerListUpdater(list, DnsDiscovery.SERVICE_NAME);
    private long now = 10_000_000;

    private static String target(int i) {
        return String.format("s-%08x.east.hosts", i);
    }

    private void addKnownServers(int count) {
        List<ListedServer> listings = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            listings.add(new ListedServer(
                    new Server(String.format("s-%08x", i), "east", "std", i % 7, State.UP, 4, 0),
                    new InetSocketAddress("127.0.0.1", 5000)));
        }
        list.applyConfigured(5, ListScope.DISK, listings);
    }

    private static AnswerBuilder listAnswer(int from, int to, int serial, int draining) {
        AnswerBuilder p = new AnswerBuilder(1, DnsDiscovery.SERVICE_NAME, Dns.SRV);
        p.soa(serial);
        for (int i = from; i < to; i++) {
            p.srv(target(i), i == draining ? 1 : 0, 40, 5000);
        }
        return p;
    }

    private static String describe(List<Server> news) {
        return news.stream().map(s -> s.id() + " " + s.state()).toList().toString();
    }

    /** The questions put within one look. */
    private List<EdgeServerListUpdater.Question> questions() {
        List<EdgeServerListUpdater.Question> out = new ArrayList<>();
        for (EdgeServerListUpdater.Question q = updater.nextQuestion(now); q != null; q = updater.nextQuestion(now)) {
            out.add(q);
        }
        return out;
    }

    private List<Server> reply(EdgeServerListUpdater.Question q, String... texts) throws Exception {
        AnswerBuilder p = new AnswerBuilder(1, q.target(), q.type());
        return updater.applyRecordAnswer(
                q, Dns.parse((q.type() == Dns.A ? p.a(q.target(), 9) : p.txt(q.target(), texts)).bytes()));
    }

    @Test
    void truncatedAnswerAppliesDrainsAndRemovesNoServer() throws Exception {
        // A cut answer was dropped whole: beyond some 200 servers the broker never heard of a drain again.
        addKnownServers(1024);
        byte[] cut = listAnswer(0, 1024, 6, 3).truncated(MAX_ANSWER_BYTES);
        assertEquals("[s-00000003 DRAINING]", describe(updater.applyListAnswer(Dns.parse(cut))));
        assertEquals(1024, list.all().size());
        assertEquals(6, list.serial());
        for (int i = 20; i < cut.length; i += 97) { // cut anywhere, also within a record
            byte[] shorter = listAnswer(0, 1024, 6, 3).truncated(i);
            try {
                updater.applyListAnswer(Dns.parse(shorter));
            } catch (Dns.MalformedMessageException e) {
                assertTrue(i < 100, "nothing but a header: " + i);
            }
            assertEquals(1024, list.all().size());
        }
    }

    @Test
    void serversMissingFromATruncatedAnswerAreAskedForByName() throws Exception {
        addKnownServers(300);
        updater.applyListAnswer(Dns.parse(listAnswer(0, 100, 6, -1).truncated(MAX_ANSWER_BYTES)));
        ArrayDeque<String> gone = new ArrayDeque<>();
        int asked = 0;
        int looks = 0;
        for (; looks < 200 && gone.isEmpty(); looks++) {
            List<EdgeServerListUpdater.Question> put = questions();
            assertTrue(put.size() <= EdgeServerListUpdater.MAX_REFRESHES_PER_LIST, "a few a look: " + put.size());
            asked += put.size();
            for (EdgeServerListUpdater.Question q : put) {
                if (q.target().equals(target(200))) {
                    gone.add(describe(updater.applyRecordAnswer(
                            q,
                            Dns.parse(new AnswerBuilder(1, q.target(), q.type())
                                    .responseCode(3)
                                    .bytes()))));
                } else {
                    assertEquals(
                            List.of(),
                            reply(
                                    q,
                                    "kind=std",
                                    "cell=" + Integer.parseInt(q.target().substring(2, 10), 16) % 7,
                                    "started=0"));
                }
            }
            updater.applyListAnswer(Dns.parse(listAnswer(0, 100, 6, -1).truncated(MAX_ANSWER_BYTES)));
        }
        assertEquals("[s-000000c8 GONE]", gone.peek());
        assertTrue(asked <= 300, "each once: " + asked);
        assertEquals(299, list.all().size());
    }

    @Test
    void truncatedAnswerWithTheSameSerialStillAppliesDrains() throws Exception {
        // Once all questions were answered, whatever came under that number was passed over.
        addKnownServers(300);
        updater.applyListAnswer(Dns.parse(listAnswer(0, 100, 6, -1).truncated(MAX_ANSWER_BYTES)));
        for (List<EdgeServerListUpdater.Question> put = questions(); !put.isEmpty(); put = questions()) {
            for (EdgeServerListUpdater.Question q : put) {
                reply(q, "kind=std", "cell=" + Integer.parseInt(q.target().substring(2, 10), 16) % 7, "started=0");
            }
            updater.applyListAnswer(Dns.parse(listAnswer(0, 100, 6, -1).truncated(MAX_ANSWER_BYTES)));
        }
        assertTrue(updater.isSettled());
        assertEquals(
                "[s-00000078 DRAINING]",
                describe(updater.applyListAnswer(
                        Dns.parse(listAnswer(100, 200, 6, 120).truncated(MAX_ANSWER_BYTES)))));
    }

    @Test
    void truncatedAnswerWithoutASerialRevokesNoDrain() throws Exception {
        addKnownServers(3);
        assertEquals(
                "[s-00000001 DRAINING]",
                describe(
                        updater.applyListAnswer(Dns.parse(listAnswer(0, 3, 6, 1).bytes()))));
        AnswerBuilder undated = new AnswerBuilder(1, DnsDiscovery.SERVICE_NAME, Dns.SRV);
        undated.srv(target(1), 0, 40, 5000).srv(target(2), 1, 40, 5000);
        assertEquals(
                "[s-00000002 DRAINING]",
                describe(updater.applyListAnswer(Dns.parse(undated.truncated(MAX_ANSWER_BYTES)))));
        AnswerBuilder whole = new AnswerBuilder(1, DnsDiscovery.SERVICE_NAME, Dns.SRV).srv(target(1), 0, 40, 5000);
        assertThrows(
                Dns.MalformedMessageException.class,
                () -> updater.applyListAnswer(Dns.parse(whole.bytes())),
                "not cut: it has to have one");
    }

    @Test
    void newServersAreAskedForAFewAtATimeAndOnce() throws Exception {
        // Every look, 250 ms apart, put one query a target and type at once and forgot what the last had gathered.
        assertEquals(
                List.of(),
                updater.applyListAnswer(Dns.parse(listAnswer(0, 300, 9, -1).bytes())));
        int asked = 0;
        for (int look = 0; look < 100 && list.all().size() < 300; look++) {
            List<EdgeServerListUpdater.Question> put = questions();
            assertTrue(put.size() <= EdgeServerListUpdater.MAX_OPEN_QUESTIONS, "at once: " + put.size());
            asked += put.size();
            for (EdgeServerListUpdater.Question q : put) {
                reply(q, "kind=std", "cell=4", "started=0");
            }
            updater.applyListAnswer(
                    Dns.parse(listAnswer(0, 300, look < 50 ? 9 + look : 60, -1).bytes()));
        }
        assertEquals(300, list.all().size());
        assertEquals(4, list.all().get(299).server().cell());
        assertTrue(asked >= 600 && asked < 900, "two each, and some texts once more: " + asked);
    }

    @Test
    void knownServersAreOnlyAskedForTheirTextWhichShowsARestart() throws Exception {
        addKnownServers(4);
        assertEquals(
                "[s-00000002 DRAINING]",
                describe(
                        updater.applyListAnswer(Dns.parse(listAnswer(0, 4, 6, 2).bytes()))),
                "a drain needs no further record");
        List<EdgeServerListUpdater.Question> put = questions();
        assertTrue(put.stream().allMatch(q -> q.type() == Dns.TXT), put.toString());
        List<Server> news = reply(put.get(0), "kind=std", "cell=0", "started=1500");
        assertEquals(1_500_000, news.get(0).upSince());
        now += EdgeServerListUpdater.QUESTION_TIMEOUT_US + 1;
        assertEquals(3, questions().size(), "those unanswered once more, and no other");
        for (EdgeServerListUpdater.Question q : put.subList(1, 4)) {
            reply(q, "kind=std", "cell=" + Integer.parseInt(q.target().substring(2, 10), 16), "started=0");
        }
        assertEquals(
                List.of(),
                updater.applyListAnswer(Dns.parse(listAnswer(0, 4, 6, 2).bytes())));
        assertNull(updater.nextQuestion(now), "nothing is left to ask");
    }

    @Test
    void lowerSerialChangesNothing() throws Exception {
        addKnownServers(2);
        assertNull(updater.applyListAnswer(Dns.parse(listAnswer(0, 1, 4, 0).bytes())));
        assertEquals(2, list.all().size());
        assertFalse(list.all().get(0).server().state() == State.DRAINING);
    }
}
