package dockshed.rtsp;

import static dockshed.core.BrokerHarness.MILLISECOND_US;
import static dockshed.core.BrokerHarness.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.Outcome;
import dockshed.core.BrokerHarness;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Viewers' RTSP on channels without sockets. */
class RtspFrontTest {
    private final BrokerHarness s = new BrokerHarness();
    private final RtspFront front = new RtspFront(s.broker, s, () -> s.now, s.timers, 3);
    private final EmbeddedChannel ch = new EmbeddedChannel(front.accept());

    static String setUp(String session, String more) {
        return "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: " + session
                + "\r\nPriority-Class: safe\r\nExpires-Ms: 3000\r\n" + more + "Content-Length: 9\r\n\r\nabc\r\nd=e\n";
    }

    static String id(int n) {
        return String.format("%016x", n);
    }

    static void say(EmbeddedChannel ch, String text) {
        ch.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    static List<String> heard(EmbeddedChannel ch) {
        List<String> out = new ArrayList<>();
        for (ByteBuf b = ch.readOutbound(); b != null; b = ch.readOutbound()) {
            out.add(b.toString(StandardCharsets.UTF_8));
            b.release();
        }
        return out;
    }

    @Test
    void aSessionFromSetUpToItsEnd() {
        say(ch, setUp(id(1), ""));
        assertEquals(List.of("box a setUp " + id(1) + " left=2990"), s.log);
        s.broker.setUpAnswered(s.now, "a", id(1), "x\r\né");
        s.ended("a", id(1), Outcome.OK);
        assertEquals(
                List.of(
                        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + id(1) + "\r\nContent-Length: 5\r\n\r\nx\r\né",
                        "TEARDOWN rtsp://media/" + id(1) + " RTSP/1.0\r\nCSeq: 2\r\nSession: " + id(1)
                                + "\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"),
                heard(ch));
    }

    @Test
    void everyFieldOfASetUpReachesTheModule() {
        List<Object> seen = new ArrayList<>();
        s.onRequest = r -> {
            seen.addAll(List.of(
                    r.className(),
                    r.viewer(),
                    r.title(),
                    r.clientDeadline(),
                    r.expectedDuration(),
                    r.homeCell(),
                    r.copies(),
                    r.highestRendition(),
                    r.retry(),
                    r.afterRefusal()));
            s.actions.fail(r.id());
        };
        say(
                ch,
                setUp(
                        id(1),
                        "P-Repeat: 1\r\nExpected-Ms: 8200.5\r\n"
                                + "P-Trunk-Info: home:2;copies:3;top:2;viewer:00000000b4d65521;again:1\r\n"));
        assertEquals(
                List.of("safe", "00000000b4d65521", "7f3a9c21e0b4d655", 3 * SECOND_US, 8_200_500L, 2, 3, 2, true, true),
                seen);
        assertTrue(heard(ch).get(0).startsWith("RTSP/1.0 500 "));
    }

    @Test
    void aRefusalTellsHowLongToStayAway() {
        s.onRequest = r -> s.actions.refuse(r.id(), 700 * MILLISECOND_US);
        say(ch, setUp(id(1), ""));
        String answer = heard(ch).get(0);
        assertTrue(
                answer.startsWith("RTSP/1.0 503 ")
                        && answer.contains("\r\nP-Back-Off: 700\r\n")
                        && answer.contains("\r\nRetry-After: 1\r\n"),
                answer);
    }

    @Test
    void aRequestOutOfTimeIsAnsweredWithATimeOut() {
        say(ch, setUp(id(1), ""));
        s.advance(3 * SECOND_US);
        assertTrue(heard(ch).get(0).startsWith("RTSP/1.0 504 "));
    }

    @Test
    void aTestPassesWithItsOwnNumbers() {
        say(ch, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: ab\r\nContent-Length: 0\r\n\r\n");
        assertEquals(List.of("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: ab\r\nContent-Length: 0\r\n\r\n"), heard(ch));
    }

    @Test
    void aSetUpInPiecesAndTwoInOneAreTakenAlike() {
        String both = setUp(id(1), "") + setUp(id(2), "");
        for (char c : both.toCharArray()) {
            say(ch, String.valueOf(c));
        }
        say(ch, setUp(id(3), "") + setUp(id(4), ""));
        assertEquals(4, s.count("box a setUp"));
    }

    @Test
    void aSetUpThatSaysTooLittleGetsA400AndTheConnectionGoesOn() {
        for (String bad : List.of(
                setUp("xyz", ""),
                setUp(id(1), "").replace("safe", "none"),
                setUp(id(1), "").replace("3000", "soon"),
                setUp(id(1), "").replace("3000", "-5"),
                setUp(id(1), "").replace("3000", "NaN"),
                setUp(id(1), "P-Trunk-Info: home:x\r\n"),
                setUp(id(1), "").replace("Expires-Ms: 3000\r\n", ""),
                setUp(id(1), "").replace("media/", "other/"))) {
            say(ch, bad);
            List<String> answers = heard(ch);
            assertEquals(1, answers.size(), bad);
            assertTrue(answers.get(0).startsWith("RTSP/1.0 400 "), bad);
        }
        assertTrue(ch.isOpen());
        assertEquals(0, s.broker.unansweredRequests());
    }

    /** Each thing that ends a connection from our side; what comes before it is owed its answer all the same. */
    private static List<String> spoilers() {
        String faults = "";
        for (int i = 0; i < RtspFront.MOST_FAULTS; i++) {
            faults += setUp(id(100 + i), "").replace("safe", "none");
        }
        return List.of(
                "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n" + setUp(id(2), ""),
                setUp(id(2), "X: " + "y".repeat(16 * 1024) + "\r\n"),
                setUp(id(2), "").replace("Length: 9", "Length: nine"),
                faults,
                setUp(id(2), "") + setUp(id(2), ""));
    }

    @Test
    void whateverEndsAConnectionWhatIsOpenOnItIsAnsweredFirst() {
        // A half message after a whole one ended the connection, and the first set-up, paid and taken, had no answer.
        for (String spoiler : spoilers()) {
            BrokerHarness stage = new BrokerHarness();
            EmbeddedChannel c =
                    new EmbeddedChannel(new RtspFront(stage.broker, stage, () -> stage.now, stage.timers, 3).accept());
            say(c, setUp(id(1), ""));
            say(c, spoiler);
            List<String> answers = heard(c);
            assertTrue(answers.stream().allMatch(a -> a.startsWith("RTSP/1.0 400 ")), spoiler);
            assertTrue(c.isOpen(), spoiler);
            say(c, setUp(id(3), ""));
            assertEquals(0, stage.count("box a setUp " + id(3)), "taken after the end: " + spoiler);
            stage.broker.setUpAnswered(stage.now, "a", id(1), "x");
            c.runPendingTasks();
            assertEquals(
                    1,
                    heard(c).stream()
                            .filter(a -> a.startsWith("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + id(1) + "\r\n")
                                    && a.endsWith("x"))
                            .count(),
                    spoiler);
            assertFalse(c.isOpen(), spoiler);
            assertEquals(1, stage.broker.activeSessions());
        }
    }

    @Test
    void aHalfMessageDoesNotCostThePaidSetUpBeforeItItsAnswer() {
        say(ch, setUp(id(1), "").replace("safe", "paid"));
        say(ch, setUp(id(2), "").substring(0, 60));
        s.advance(RtspFront.SILENT + SECOND_US / 2);
        List<String> half = heard(ch);
        assertEquals(1, half.size());
        assertTrue(half.get(0).startsWith("RTSP/1.0 400 ") && !half.get(0).contains("Session"), half.get(0));
        s.advance(SECOND_US); // the box stays silent, until the viewer's time is up
        assertTrue(heard(ch).get(0).startsWith("RTSP/1.0 504 Gateway Time-out\r\nCSeq: 1\r\nSession: " + id(1)));
        assertFalse(ch.isOpen());
        assertEquals(0, s.broker.unansweredRequests());
    }

    @Test
    void anErrorOfOurOwnCostsNoOtherSetUpItsAnswer() {
        say(ch, setUp(id(1), ""));
        ch.pipeline().fireExceptionCaught(new IllegalStateException("as a test"));
        s.broker.setUpAnswered(s.now, "a", id(1), "x");
        assertTrue(heard(ch).get(0).startsWith("RTSP/1.0 200 "));
        assertFalse(ch.isOpen());
    }

    @Test
    void whatIsNotReadYetIsNotThrownAwayForRoom() {
        // A close throws away what the system has not taken yet; the viewer would have had half an answer.
        List<Object> held = new ArrayList<>();
        List<io.netty.channel.ChannelPromise> promises = new ArrayList<>();
        EmbeddedChannel slow = new EmbeddedChannel(
                new io.netty.channel.ChannelOutboundHandlerAdapter() {
                    @Override
                    public void flush(io.netty.channel.ChannelHandlerContext ctx) {
                        if (promises.isEmpty()) {
                            held.add(ctx); // the viewer makes no room yet
                        }
                    }
                },
                front.accept());
        say(slow, setUp(id(1), ""));
        s.broker.setUpAnswered(s.now, "a", id(1), "x");
        slow.unsafe().outboundBuffer().addFlush();
        new EmbeddedChannel(front.accept());
        new EmbeddedChannel(front.accept());
        s.advance(SECOND_US);
        new EmbeddedChannel(front.accept());
        s.advance(RtspFront.LAST_READ);
        assertTrue(slow.isOpen());
        s.advance(RtspFront.LINGER + SECOND_US);
        assertEquals(
                3,
                java.util.stream.Stream.generate(() -> new EmbeddedChannel(front.accept()))
                        .limit(3)
                        .filter(EmbeddedChannel::isOpen)
                        .count(),
                "not for ever");
    }

    @Test
    void aMessageOverTheLimitIsRefused() {
        say(ch, setUp(id(1), "X: " + "y".repeat(16 * 1024) + "\r\n"));
        assertFalse(ch.isOpen());
        assertEquals(0, s.broker.unansweredRequests());
    }

    @Test
    void aTearDownGivesUpOrReleasesAndIsHeard() {
        String bye = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + id(1) + "\r\n";
        say(ch, setUp(id(1), "") + bye + "\r\n");
        assertEquals(0, s.count("box a setUp"), "given up in the read that brought it");
        say(ch, setUp(id(1), ""));
        say(ch, bye + "\r\n");
        assertEquals(1, s.count("box a giveUp"));
        assertEquals(
                List.of("200", "200"),
                heard(ch).stream().map(a -> a.split(" ")[1]).toList());
        assertEquals(0, s.broker.unansweredRequests());
        say(ch, setUp(id(1), ""));
        s.broker.setUpAnswered(s.now, "a", id(1), "");
        say(ch, bye + "Reason: cause=31\r\n\r\n");
        assertEquals(1, s.count("box a release"));
        assertEquals(
                List.of("200", "200"),
                heard(ch).stream().map(a -> a.split(" ")[1]).toList());
    }

    @Test
    void anOpenSessionWantsNoAnswer() {
        say(
                ch,
                setUp(id(1), "P-Trunk-Info: home:0;copies:3;top:4;viewer:00;at:b\r\n")
                        .repeat(2));
        assertEquals(List.of(), heard(ch));
        assertEquals(1, s.count("module open b"));
    }

    @Test
    void theEndOfASessionComesOnAnotherConnectionIfItsOwnIsGone() {
        say(ch, setUp(id(1), ""));
        s.broker.setUpAnswered(s.now, "a", id(1), "");
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        say(other, setUp(id(2), ""));
        ch.close();
        s.ended("a", id(1), Outcome.RESET);
        assertTrue(heard(other).get(0).contains("\r\nReason: cause=41\r\n"));
    }

    @Test
    void anAnswerThatCannotBeWrittenEndsItsSessionAtTheServer() {
        // A server's answer may cross with the viewer's connection breaking: nobody would watch that session.
        say(ch, setUp(id(1), ""));
        ch.pipeline().addFirst(new io.netty.channel.ChannelOutboundHandlerAdapter() {
            @Override
            public void write(
                    io.netty.channel.ChannelHandlerContext ctx, Object msg, io.netty.channel.ChannelPromise p) {
                io.netty.util.ReferenceCountUtil.release(msg);
                p.setFailure(new java.io.IOException("as a test"));
            }
        });
        s.broker.setUpAnswered(s.now, "a", id(1), "");
        assertEquals(1, s.count("box a release " + id(1)));
        assertEquals(0, s.broker.activeSessions());
    }

    @Test
    void aViewerThatDoesNotReadIsNotReadFromUntilItHasCaughtUp() {
        ch.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        ch.runPendingTasks();
        assertFalse(ch.config().isAutoRead());
        ch.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        ch.runPendingTasks();
        assertTrue(ch.config().isAutoRead());
    }

    @Test
    void roomIsMadeAmongThoseThatAskNothing() {
        // Hundreds of connections that say nothing, or ask one test and stay, took all places; viewers were turned
        // away.
        say(ch, setUp(id(1), ""));
        EmbeddedChannel tested = new EmbeddedChannel(front.accept());
        say(tested, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
        EmbeddedChannel silent = new EmbeddedChannel(front.accept());
        s.advance(SECOND_US);
        EmbeddedChannel fourth = new EmbeddedChannel(front.accept());
        assertEquals(List.of(true, true, false, true), open(ch, tested, silent, fourth));
        say(fourth, setUp(id(2), ""));
        EmbeddedChannel fifth = new EmbeddedChannel(front.accept());
        assertTrue(tested.isOpen(), "what had come before is read first");
        s.advance(RtspFront.LAST_READ);
        assertEquals(List.of(true, false, true, true), open(ch, tested, fourth, fifth));
        say(fifth, setUp(id(3), ""));
        assertFalse(new EmbeddedChannel(front.accept()).isOpen(), "each of the others has a set-up open");
        s.broker.setUpAnswered(s.now, "a", id(2), "");
        s.advance(SECOND_US);
        assertTrue(new EmbeddedChannel(front.accept()).isOpen());
        s.advance(RtspFront.LAST_READ);
        assertEquals(List.of(true, false, true), open(ch, fourth, fifth));
        assertEquals(1, s.broker.activeSessions(), "a session belongs to no connection");
    }

    @Test
    void aSetUpThatWaitedUnreadKeepsItsConnection() {
        // In a rush the loop lagged: a connection was closed for a new one while a set-up on it had yet to be read.
        say(ch, setUp(id(1), ""));
        s.broker.setUpAnswered(s.now, "a", id(1), "");
        EmbeddedChannel second = new EmbeddedChannel(front.accept());
        say(second, setUp(id(2), ""));
        EmbeddedChannel third = new EmbeddedChannel(front.accept());
        say(third, setUp(id(3), ""));
        s.advance(SECOND_US);
        new EmbeddedChannel(front.accept());
        say(ch, setUp(id(4), ""));
        s.advance(SECOND_US / 4);
        assertTrue(ch.isOpen());
        s.broker.setUpAnswered(s.now, "a", id(4), "x");
        assertEquals(
                List.of("200", "200"),
                heard(ch).stream().map(a -> a.split(" ")[1]).toList());
    }

    private static List<Boolean> open(EmbeddedChannel... channels) {
        return java.util.Arrays.stream(channels).map(EmbeddedChannel::isOpen).toList();
    }

    @Test
    void whoSaysNothingOrStopsMidwayIsLetGoInTime() {
        // Such a client is owed an error or a close within three seconds of connecting.
        EmbeddedChannel half = new EmbeddedChannel(front.accept());
        say(half, setUp(id(1), "").substring(0, 60));
        EmbeddedChannel asked = new EmbeddedChannel(front.accept());
        say(asked, setUp(id(2), ""));
        s.broker.setUpAnswered(s.now, "a", id(2), "");
        s.advance(RtspFront.SILENT + SECOND_US / 2);
        assertEquals(List.of(false, false, true), open(ch, half, asked));
        assertTrue(heard(half).get(0).startsWith("RTSP/1.0 400 "));
        heard(asked);
        say(asked, "SETUP rtsp");
        s.advance(RtspFront.SILENT + SECOND_US / 2);
        assertTrue(heard(asked).get(0).startsWith("RTSP/1.0 400 "));
    }

    @Test
    void aSessionAskedForTwiceOnOneConnectionIsNotServed() {
        // Two requests under one number: whatever the server says then can't be told to belong to either.
        say(ch, setUp(id(1), ""));
        say(ch, setUp(id(1), ""));
        assertTrue(heard(ch).get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(1, s.count("box a giveUp"));
        s.broker.setUpAnswered(s.now, "a", id(1), "");
        assertEquals(0, s.broker.counts().served);
    }

    @Test
    void aConnectionThatEndsAfterItsAnswersEndsWhereTheLastIsGivenUpElsewhere() {
        // It stayed open until its viewer closed it: what was torn down on another connection was waited for for ever.
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        say(ch, setUp(id(1), ""));
        say(ch, "GET / HTTP/1.1\r\n\r\n");
        assertTrue(ch.isOpen());
        say(other, "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + id(1) + "\r\n\r\n");
        assertFalse(ch.isOpen());
        assertEquals(1, s.count("box a giveUp"));
    }

    @Test
    void aSessionAskedForTwiceInOneReadIsNotTriedAndLeavesAnothersAlone() {
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        say(other, setUp(id(1), ""));
        say(ch, setUp(id(1), "") + setUp(id(1), ""));
        List<String> answers = heard(ch).stream().filter(a -> !a.isEmpty()).toList();
        assertEquals(1, answers.size(), answers.toString());
        assertTrue(answers.get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(1, s.count("box a setUp"), "the other connection's own");
        assertEquals(0, s.count("box a giveUp"));
        s.broker.setUpAnswered(s.now, "a", id(1), "");
        assertTrue(heard(other).get(0).startsWith("RTSP/1.0 200 "));
    }

    @Test
    void theSessionOfAnotherConnectionStaysItsOwn() {
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        say(ch, setUp(id(1), ""));
        say(other, setUp(id(1), "").replace("abc", "xyz"));
        assertTrue(heard(other).get(0).startsWith("RTSP/1.0 400 "));
        other.close();
        s.broker.setUpAnswered(s.now, "a", id(1), "");
        assertTrue(heard(ch).get(0).startsWith("RTSP/1.0 200 "));
    }

    @Test
    void figuresThatNoViewerHasAreNotPassedOn() {
        // The edge server sees none of these figures and would answer: a client with them must not hear 'served'.
        for (String info : List.of(
                "home:-1;copies:3;top:4",
                "home:3;copies:3;top:4",
                "home:0;copies:4;top:4",
                "home:0;copies:3;top:5",
                "home:0;copies:3;top:99999999999",
                "home:1e0;copies:3;top:4",
                "home:0;copies:NaN;top:4",
                "home:0;copies:3;top:4;at:nowhere")) {
            EmbeddedChannel c = new EmbeddedChannel(front.accept());
            say(c, setUp(id(1), "P-Trunk-Info: " + info + "\r\n"));
            assertTrue(heard(c).get(0).startsWith("RTSP/1.0 400 "), info);
            c.close();
        }
        for (String patience : List.of("99999999", "1e3", "0x1p9", "3000d", "Infinity", "3,000", "")) {
            EmbeddedChannel c = new EmbeddedChannel(front.accept());
            say(c, setUp(id(1), "").replace("3000", patience));
            assertTrue(heard(c).get(0).startsWith("RTSP/1.0 400 "), patience);
            c.close();
        }
        say(ch, setUp(id(1), "").replace("d=e\n", "d=e!")); // cut off, by a length that is wrong
        assertTrue(heard(ch).get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(List.of(), s.log);
    }

    @Test
    void whoGoesOnWithFaultyMessagesIsEnded() {
        for (int i = 0; i < RtspFront.MOST_FAULTS; i++) {
            assertTrue(ch.isOpen());
            say(ch, setUp(id(i), "").replace("safe", "none"));
        }
        assertFalse(ch.isOpen());
    }

    @Test
    void retryAfterKeepsTheMeanAndNeverSaysNow() {
        // Rounded all one way, refused viewers that know Retry-After alone would come back in step or at once.
        java.util.SplittableRandom random = new java.util.SplittableRandom(3);
        long sum = 0;
        for (int i = 0; i < 1000; i++) {
            long told = RtspFront.wholeSeconds(1_400_000, 2_000_000, random);
            assertTrue(told == 1 || told == 2, "told " + told);
            sum += told;
        }
        assertTrue(sum > 1330 && sum < 1470, "mean of a thousand: " + sum);
        assertEquals(1, RtspFront.wholeSeconds(1000, 2_000_000, random));
        assertEquals(1, RtspFront.wholeSeconds(1_999_999, 1_999_999, random), "the settings' longest time holds");
        assertEquals(0, RtspFront.wholeSeconds(500_000, 900_000, random), "no whole second may be told");
    }
}
