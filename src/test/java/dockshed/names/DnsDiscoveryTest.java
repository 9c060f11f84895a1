package dockshed.names;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockshed.core.TimerQueue;
import dockshed.names.DnsTest.AnswerBuilder;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Queries to a name server over UDP; the test itself plays the name server. */
class DnsDiscoveryTest {
    private final Net net = new Net();
    private final BlockingQueue<String> changes = new LinkedBlockingQueue<>();
    private DatagramSocket server;
    private DatagramPacket lastQuery;
    private DnsDiscovery discovery;

    @BeforeEach
    void start() throws Exception {
        server = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server.setSoTimeout(20_000);
        net.callOnLoop(() -> {
            LoopClock clock = new LoopClock(net.loop());
            TimerQueue timers = new TimerQueue(clock::wakeAt);
            clock.onWakeUp(timers::runDue);
            discovery = new DnsDiscovery(
                    (scope, servers, addresses) -> changes.add(scope + " "
                            + servers.stream()
                                    .map(s -> s.id() + " " + s.state())
                                    .toList() + " " + addresses.keySet()),
                    clock,
                    timers,
                    new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                    1);
            discovery.start(net, new InetSocketAddress("127.0.0.1", 0));
            return null;
        });
    }

    @AfterEach
    void stop() {
        net.close();
        server.close();
    }

    /** Receives the next query and returns its id. */
    private int query() throws Exception {
        lastQuery = new DatagramPacket(new byte[512], 512);
        server.receive(lastQuery);
        return (lastQuery.getData()[0] & 0xff) << 8 | lastQuery.getData()[1] & 0xff;
    }

    private void answer(byte[] bytes) throws Exception {
        server.send(new DatagramPacket(bytes, bytes.length, lastQuery.getSocketAddress()));
    }

    private String nextChange() throws Exception {
        return changes.poll(20, TimeUnit.SECONDS);
    }

    private static AnswerBuilder list(int id, int serial, String... ids) {
        AnswerBuilder answer = new AnswerBuilder(id, DnsDiscovery.SERVICE_NAME, Dns.SRV);
        for (String serverId : ids) {
            answer.srv(serverId + ".east.hosts", 0, 10, 80);
        }
        answer.soa(serial);
        for (String serverId : ids) {
            answer.a(serverId + ".east.hosts", 9).txt(serverId + ".east.hosts", "kind=k", "cell=1", "started=0");
        }
        return answer;
    }

    /** Moves the name server to another address; returns its former socket. */
    private DatagramSocket moveNameServer() throws Exception {
        DatagramSocket old = server;
        server = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server.setSoTimeout(20_000);
        net.callOnLoop(() -> {
            discovery.changeServer(new InetSocketAddress("127.0.0.1", server.getLocalPort()));
            return null;
        });
        return old;
    }

    @Test
    void lostAnswersAreAskedForAgainAndUnrelatedOnesIgnored() throws Exception {
        query(); // lost
        int id = query();
        answer(list(id + 1 & 0xffff, 9, "x").bytes()); // to a query that was never sent
        answer(new byte[] {1, 2, 3});
        answer(list(id, 1, "a", "b").bytes());
        assertEquals("CHANGES [a UP, b UP] [a, b]", nextChange());
        answer(list(id, 5, "c").bytes()); // the same answer a second time
        answer(list(query(), 2, "b").bytes());
        assertEquals("CHANGES [a GONE] [b]", nextChange());
    }

    @Test
    void answersFromOthersOrToOtherQuestionsAreIgnored() throws Exception {
        int id = query();
        try (DatagramSocket stranger = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            byte[] bytes = list(id, 9, "x").bytes();
            stranger.send(new DatagramPacket(bytes, bytes.length, lastQuery.getSocketAddress()));
        }
        answer(new AnswerBuilder(id, "x.east.hosts", Dns.A).a("x.east.hosts", 3).bytes());
        answer(list(id, 1, "a").bytes());
        assertEquals("CHANGES [a UP] [a]", nextChange());
    }

    @Test
    void outdatedAnswerChangesNothing() throws Exception {
        int late = query();
        answer(list(query(), 3, "a").bytes());
        assertEquals("CHANGES [a UP] [a]", nextChange());
        answer(list(late, 2, "a", "old").bytes());
        answer(list(query(), 4, "a", "b").bytes());
        assertEquals("CHANGES [b UP] [a, b]", nextChange());
    }

    @Test
    void missingRecordsAreAskedForByName() throws Exception {
        answer(new AnswerBuilder(query(), DnsDiscovery.SERVICE_NAME, Dns.SRV)
                .srv("a.east.hosts", 1, 10, 80)
                .soa(1)
                .bytes());
        for (int i = 0; i < 2; i++) {
            int id = query();
            boolean textAsked = lastQuery.getData()[lastQuery.getLength() - 3] == Dns.TXT;
            AnswerBuilder answer = new AnswerBuilder(id, "a.east.hosts", textAsked ? Dns.TXT : Dns.A);
            answer((textAsked ? answer.txt("a.east.hosts", "cell=2") : answer.a("a.east.hosts", 7)).bytes());
        }
        assertEquals("CHANGES [a DRAINING] [a]", nextChange());
    }

    @Test
    void movedNameServerIsQueriedAndSerialNumbersContinue() throws Exception {
        answer(list(query(), 7, "a").bytes());
        assertEquals("CHANGES [a UP] [a]", nextChange());
        DatagramSocket old = moveNameServer();
        old.close();
        answer(list(query(), 6, "old").bytes()); // older than the current list
        answer(list(query(), 8, "a", "b").bytes());
        assertEquals("CHANGES [b UP] [a, b]", nextChange());
    }

    @Test
    void formerNameServerRemovesNoServerByALateAnswer() throws Exception {
        answer(list(query(), 1, "a", "b").bytes());
        assertEquals("CHANGES [a UP, b UP] [a, b]", nextChange());
        answer(list(query(), 2, "a").truncated(8000)); // b is missing: its address is asked for
        int queryId = query();
        while (lastQuery.getData()[lastQuery.getLength() - 3] != Dns.A) {
            queryId = query();
        }
        DatagramPacket addressQuery = lastQuery;
        DatagramSocket old = moveNameServer();
        byte[] nxdomain = new AnswerBuilder(queryId, "b.east.hosts", Dns.A)
                .responseCode(Dns.NXDOMAIN)
                .bytes();
        old.send(new DatagramPacket(nxdomain, nxdomain.length, addressQuery.getSocketAddress()));
        old.close();
        answer(list(query(), 3, "a", "b", "c").bytes());
        assertEquals("CHANGES [c UP] [a, b, c]", nextChange());
    }
}
