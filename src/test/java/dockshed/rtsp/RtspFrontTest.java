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
    private final BrokerHarness stage = new BrokerHarness();
    private final RtspFront front = new RtspFront(stage.broker, stage, () -> stage.now, stage.timers, 3);
    private final EmbeddedChannel channel = new EmbeddedChannel(front.accept());

    static String setUpMessage(String session, String more) {
        return "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: " + session
                + "\r\nPriority-Class: safe\r\nExpires-Ms: 3000\r\n" + more + "Content-Length: 9\r\n\r\nabc\r\nd=e\n";
    }

    static String sessionId(int n) {
        return String.format("%016x", n);
    }

    static void send(EmbeddedChannel ch, String text) {
        ch.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    static List<String> received(EmbeddedChannel ch) {
        List<String> out = new ArrayList<>();
        for (ByteBuf b = ch.readOutbound(); b != null; b = ch.readOutbound()) {
            out.add(b.toString(StandardCharsets.UTF_8));
            b.release();
        }
        return out;
    }

    @Test
    void aSessionFromSetUpToItsEnd() {
        send(channel, setUpMessage(sessionId(1), ""));
        assertEquals(List.of("box a setUp " + sessionId(1) + " left=2990"), stage.log);
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "x\r\né");
        stage.ended("a", sessionId(1), Outcome.OK);
        assertEquals(
                List.of(
                        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + sessionId(1)
                                + "\r\nContent-Length: 5\r\n\r\nx\r\né",
                        "TEARDOWN rtsp://media/" + sessionId(1) + " RTSP/1.0\r\nCSeq: 2\r\nSession: " + sessionId(1)
                                + "\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"),
                received(channel));
    }

    @Test
    void everyFieldOfASetUpReachesTheModule() {
        List<Object> seen = new ArrayList<>();
        stage.onRequest = r -> {
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
                    r.returning()));
            stage.actions.fail(r.id());
        };
        send(
                channel,
                setUpMessage(
                        sessionId(1),
                        "P-Repeat: 1\r\nExpected-Ms: 8200.5\r\n"
                                + "P-Trunk-Info: home:2;copies:3;top:2;viewer:00000000b4d65521;again:1\r\n"));
        assertEquals(
                List.of("safe", "00000000b4d65521", "7f3a9c21e0b4d655", 3 * SECOND_US, 8_200_500L, 2, 3, 2, true, true),
                seen);
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 500 "));
    }

    @Test
    void aRefusalTellsHowLongToStayAway() {
        stage.onRequest = r -> stage.actions.refuse(r.id(), 700 * MILLISECOND_US);
        send(channel, setUpMessage(sessionId(1), ""));
        String answer = received(channel).get(0);
        assertTrue(
                answer.startsWith("RTSP/1.0 503 ")
                        && answer.contains("\r\nP-Back-Off: 700\r\n")
                        && answer.contains("\r\nRetry-After: 1\r\n"),
                answer);
    }

    @Test
    void aRequestOutOfTimeIsAnsweredWithATimeOut() {
        send(channel, setUpMessage(sessionId(1), ""));
        stage.advance(3 * SECOND_US);
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 504 "));
    }

    @Test
    void aTestPassesWithItsOwnNumbers() {
        send(channel, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: ab\r\nContent-Length: 0\r\n\r\n");
        assertEquals(
                List.of("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: ab\r\nContent-Length: 0\r\n\r\n"), received(channel));
    }

    @Test
    void aSetUpInPiecesAndTwoInOneAreTakenAlike() {
        String both = setUpMessage(sessionId(1), "") + setUpMessage(sessionId(2), "");
        for (char c : both.toCharArray()) {
            send(channel, String.valueOf(c));
        }
        send(channel, setUpMessage(sessionId(3), "") + setUpMessage(sessionId(4), ""));
        assertEquals(4, stage.count("box a setUp"));
    }

    @Test
    void aSetUpThatSaysTooLittleGetsA400AndTheConnectionGoesOn() {
        for (String bad : List.of(
                setUpMessage("xyz", ""),
                setUpMessage(sessionId(1), "").replace("safe", "none"),
                setUpMessage(sessionId(1), "").replace("3000", "soon"),
                setUpMessage(sessionId(1), "").replace("3000", "-5"),
                setUpMessage(sessionId(1), "").replace("3000", "NaN"),
                setUpMessage(sessionId(1), "P-Trunk-Info: home:x\r\n"),
                setUpMessage(sessionId(1), "").replace("Expires-Ms: 3000\r\n", ""),
                setUpMessage(sessionId(1), "").replace("media/", "other/"))) {
            send(channel, bad);
            List<String> answers = received(channel);
            assertEquals(1, answers.size(), bad);
            assertTrue(answers.get(0).startsWith("RTSP/1.0 400 "), bad);
        }
        assertTrue(channel.isOpen());
        assertEquals(0, stage.broker.unansweredRequests());
    }

    /** Each thing that ends a connection from our side; what comes before it is owed its answer all the same. */
    private static List<String> connectionEnders() {
        String faults = "";
        for (int i = 0; i < RtspFront.MAX_FAULTY_MESSAGES; i++) {
            faults += setUpMessage(sessionId(100 + i), "").replace("safe", "none");
        }
        return List.of(
                "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n" + setUpMessage(sessionId(2), ""),
                setUpMessage(sessionId(2), "X: " + "y".repeat(16 * 1024) + "\r\n"),
                setUpMessage(sessionId(2), "").replace("Length: 9", "Length: nine"),
                faults,
                setUpMessage(sessionId(2), "") + setUpMessage(sessionId(2), ""));
    }

    @Test
    void whateverEndsAConnectionWhatIsOpenOnItIsAnsweredFirst() {
        // A half message after a whole one ended the connection, and the first set-up, paid and taken, had no answer.
        for (String spoiler : connectionEnders()) {
            BrokerHarness stage = new BrokerHarness();
            EmbeddedChannel c =
                    new EmbeddedChannel(new RtspFront(stage.broker, stage, () -> stage.now, stage.timers, 3).accept());
            send(c, setUpMessage(sessionId(1), ""));
            send(c, spoiler);
            List<String> answers = received(c);
            assertTrue(answers.stream().allMatch(a -> a.startsWith("RTSP/1.0 400 ")), spoiler);
            assertTrue(c.isOpen(), spoiler);
            send(c, setUpMessage(sessionId(3), ""));
            assertEquals(0, stage.count("box a setUp " + sessionId(3)), "taken after the end: " + spoiler);
            stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "x");
            c.runPendingTasks();
            assertEquals(
                    1,
                    received(c).stream()
                            .filter(a -> a.startsWith("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + sessionId(1) + "\r\n")
                                    && a.endsWith("x"))
                            .count(),
                    spoiler);
            assertFalse(c.isOpen(), spoiler);
            assertEquals(1, stage.broker.activeSessions());
        }
    }

    @Test
    void aHalfMessageDoesNotCostThePaidSetUpBeforeItItsAnswer() {
        send(channel, setUpMessage(sessionId(1), "").replace("safe", "paid"));
        send(channel, setUpMessage(sessionId(2), "").substring(0, 60));
        stage.advance(RtspFront.MESSAGE_TIMEOUT_US + SECOND_US / 2);
        List<String> half = received(channel);
        assertEquals(1, half.size());
        assertTrue(half.get(0).startsWith("RTSP/1.0 400 ") && !half.get(0).contains("Session"), half.get(0));
        stage.advance(SECOND_US); // the box stays silent, until the viewer's time is up
        assertTrue(received(channel)
                .get(0)
                .startsWith("RTSP/1.0 504 Gateway Time-out\r\nCSeq: 1\r\nSession: " + sessionId(1)));
        assertFalse(channel.isOpen());
        assertEquals(0, stage.broker.unansweredRequests());
    }

    @Test
    void anErrorOfOurOwnCostsNoOtherSetUpItsAnswer() {
        send(channel, setUpMessage(sessionId(1), ""));
        channel.pipeline().fireExceptionCaught(new IllegalStateException("as a test"));
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "x");
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 200 "));
        assertFalse(channel.isOpen());
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
        send(slow, setUpMessage(sessionId(1), ""));
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "x");
        slow.unsafe().outboundBuffer().addFlush();
        new EmbeddedChannel(front.accept());
        new EmbeddedChannel(front.accept());
        stage.advance(SECOND_US);
        new EmbeddedChannel(front.accept());
        stage.advance(RtspFront.CLOSE_DELAY_US);
        assertTrue(slow.isOpen());
        stage.advance(RtspFront.LINGER_TIMEOUT_US + SECOND_US);
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
        send(channel, setUpMessage(sessionId(1), "X: " + "y".repeat(16 * 1024) + "\r\n"));
        assertFalse(channel.isOpen());
        assertEquals(0, stage.broker.unansweredRequests());
    }

    @Test
    void aTearDownGivesUpOrReleasesAndIsHeard() {
        String bye = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + sessionId(1) + "\r\n";
        send(channel, setUpMessage(sessionId(1), "") + bye + "\r\n");
        assertEquals(0, stage.count("box a setUp"), "given up in the read that brought it");
        send(channel, setUpMessage(sessionId(1), ""));
        send(channel, bye + "\r\n");
        assertEquals(1, stage.count("box a giveUp"));
        assertEquals(
                List.of("200", "200"),
                received(channel).stream().map(a -> a.split(" ")[1]).toList());
        assertEquals(0, stage.broker.unansweredRequests());
        send(channel, setUpMessage(sessionId(1), ""));
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "");
        send(channel, bye + "Reason: cause=31\r\n\r\n");
        assertEquals(1, stage.count("box a release"));
        assertEquals(
                List.of("200", "200"),
                received(channel).stream().map(a -> a.split(" ")[1]).toList());
    }

    @Test
    void anOpenSessionWantsNoAnswer() {
        send(
                channel,
                setUpMessage(sessionId(1), "P-Trunk-Info: home:0;copies:3;top:4;viewer:00;at:b\r\n")
                        .repeat(2));
        assertEquals(List.of(), received(channel));
        assertEquals(1, stage.count("module open b"));
    }

    @Test
    void theEndOfASessionComesOnAnotherConnectionIfItsOwnIsGone() {
        send(channel, setUpMessage(sessionId(1), ""));
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "");
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        send(other, setUpMessage(sessionId(2), ""));
        channel.close();
        stage.ended("a", sessionId(1), Outcome.RESET);
        assertTrue(received(other).get(0).contains("\r\nReason: cause=41\r\n"));
    }

    @Test
    void anAnswerThatCannotBeWrittenEndsItsSessionAtTheServer() {
        // A server's answer may cross with the viewer's connection breaking: nobody would watch that session.
        send(channel, setUpMessage(sessionId(1), ""));
        channel.pipeline().addFirst(new io.netty.channel.ChannelOutboundHandlerAdapter() {
            @Override
            public void write(
                    io.netty.channel.ChannelHandlerContext ctx, Object msg, io.netty.channel.ChannelPromise p) {
                io.netty.util.ReferenceCountUtil.release(msg);
                p.setFailure(new java.io.IOException("as a test"));
            }
        });
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "");
        assertEquals(1, stage.count("box a release " + sessionId(1)));
        assertEquals(0, stage.broker.activeSessions());
    }

    @Test
    void aViewerThatDoesNotReadIsNotReadFromUntilItHasCaughtUp() {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        channel.runPendingTasks();
        assertFalse(channel.config().isAutoRead());
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        channel.runPendingTasks();
        assertTrue(channel.config().isAutoRead());
    }

    @Test
    void roomIsMadeAmongThoseThatAskNothing() {
        // Hundreds of connections that say nothing, or ask one test and stay, took all places; viewers were turned
        // away.
        send(channel, setUpMessage(sessionId(1), ""));
        EmbeddedChannel tested = new EmbeddedChannel(front.accept());
        send(tested, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
        EmbeddedChannel silent = new EmbeddedChannel(front.accept());
        stage.advance(SECOND_US);
        EmbeddedChannel fourth = new EmbeddedChannel(front.accept());
        assertEquals(List.of(true, true, false, true), areOpen(channel, tested, silent, fourth));
        send(fourth, setUpMessage(sessionId(2), ""));
        EmbeddedChannel fifth = new EmbeddedChannel(front.accept());
        assertTrue(tested.isOpen(), "what had come before is read first");
        stage.advance(RtspFront.CLOSE_DELAY_US);
        assertEquals(List.of(true, false, true, true), areOpen(channel, tested, fourth, fifth));
        send(fifth, setUpMessage(sessionId(3), ""));
        assertFalse(new EmbeddedChannel(front.accept()).isOpen(), "each of the others has a set-up open");
        stage.broker.setUpAnswered(stage.now, "a", sessionId(2), "");
        stage.advance(SECOND_US);
        assertTrue(new EmbeddedChannel(front.accept()).isOpen());
        stage.advance(RtspFront.CLOSE_DELAY_US);
        assertEquals(List.of(true, false, true), areOpen(channel, fourth, fifth));
        assertEquals(1, stage.broker.activeSessions(), "a session belongs to no connection");
    }

    @Test
    void aSetUpThatWaitedUnreadKeepsItsConnection() {
        // In a rush the loop lagged: a connection was closed for a new one while a set-up on it had yet to be read.
        send(channel, setUpMessage(sessionId(1), ""));
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "");
        EmbeddedChannel second = new EmbeddedChannel(front.accept());
        send(second, setUpMessage(sessionId(2), ""));
        EmbeddedChannel third = new EmbeddedChannel(front.accept());
        send(third, setUpMessage(sessionId(3), ""));
        stage.advance(SECOND_US);
        new EmbeddedChannel(front.accept());
        send(channel, setUpMessage(sessionId(4), ""));
        stage.advance(SECOND_US / 4);
        assertTrue(channel.isOpen());
        stage.broker.setUpAnswered(stage.now, "a", sessionId(4), "x");
        assertEquals(
                List.of("200", "200"),
                received(channel).stream().map(a -> a.split(" ")[1]).toList());
    }

    private static List<Boolean> areOpen(EmbeddedChannel... channels) {
        return java.util.Arrays.stream(channels).map(EmbeddedChannel::isOpen).toList();
    }

    @Test
    void whoSaysNothingOrStopsMidwayIsLetGoInTime() {
        // Such a client is owed an error or a close within three seconds of connecting.
        EmbeddedChannel half = new EmbeddedChannel(front.accept());
        send(half, setUpMessage(sessionId(1), "").substring(0, 60));
        EmbeddedChannel asked = new EmbeddedChannel(front.accept());
        send(asked, setUpMessage(sessionId(2), ""));
        stage.broker.setUpAnswered(stage.now, "a", sessionId(2), "");
        stage.advance(RtspFront.MESSAGE_TIMEOUT_US + SECOND_US / 2);
        assertEquals(List.of(false, false, true), areOpen(channel, half, asked));
        assertTrue(received(half).get(0).startsWith("RTSP/1.0 400 "));
        received(asked);
        send(asked, "SETUP rtsp");
        stage.advance(RtspFront.MESSAGE_TIMEOUT_US + SECOND_US / 2);
        assertTrue(received(asked).get(0).startsWith("RTSP/1.0 400 "));
    }

    @Test
    void aSessionAskedForTwiceOnOneConnectionIsNotServed() {
        // Two requests under one number: whatever the server says then can't be told to belong to either.
        send(channel, setUpMessage(sessionId(1), ""));
        send(channel, setUpMessage(sessionId(1), ""));
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(1, stage.count("box a giveUp"));
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "");
        assertEquals(0, stage.broker.counts().served);
    }

    @Test
    void aConnectionThatEndsAfterItsAnswersEndsWhereTheLastIsGivenUpElsewhere() {
        // It stayed open until its viewer closed it: what was torn down on another connection was waited for for ever.
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        send(channel, setUpMessage(sessionId(1), ""));
        send(channel, "GET / HTTP/1.1\r\n\r\n");
        assertTrue(channel.isOpen());
        send(other, "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + sessionId(1) + "\r\n\r\n");
        assertFalse(channel.isOpen());
        assertEquals(1, stage.count("box a giveUp"));
    }

    @Test
    void aSessionAskedForTwiceInOneReadIsNotTriedAndLeavesAnothersAlone() {
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        send(other, setUpMessage(sessionId(1), ""));
        send(channel, setUpMessage(sessionId(1), "") + setUpMessage(sessionId(1), ""));
        List<String> answers =
                received(channel).stream().filter(a -> !a.isEmpty()).toList();
        assertEquals(1, answers.size(), answers.toString());
        assertTrue(answers.get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(1, stage.count("box a setUp"), "the other connection's own");
        assertEquals(0, stage.count("box a giveUp"));
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "");
        assertTrue(received(other).get(0).startsWith("RTSP/1.0 200 "));
    }

    @Test
    void theSessionOfAnotherConnectionStaysItsOwn() {
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        send(channel, setUpMessage(sessionId(1), ""));
        send(other, setUpMessage(sessionId(1), "").replace("abc", "xyz"));
        assertTrue(received(other).get(0).startsWith("RTSP/1.0 400 "));
        other.close();
        stage.broker.setUpAnswered(stage.now, "a", sessionId(1), "");
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 200 "));
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
            send(c, setUpMessage(sessionId(1), "P-Trunk-Info: " + info + "\r\n"));
            assertTrue(received(c).get(0).startsWith("RTSP/1.0 400 "), info);
            c.close();
        }
        for (String patience : List.of("99999999", "1e3", "0x1p9", "3000d", "Infinity", "3,000", "")) {
            EmbeddedChannel c = new EmbeddedChannel(front.accept());
            send(c, setUpMessage(sessionId(1), "").replace("3000", patience));
            assertTrue(received(c).get(0).startsWith("RTSP/1.0 400 "), patience);
            c.close();
        }
        send(channel, setUpMessage(sessionId(1), "").replace("d=e\n", "d=e!")); // cut off, by a length that is wrong
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(List.of(), stage.log);
    }

    @Test
    void whoGoesOnWithFaultyMessagesIsEnded() {
        for (int i = 0; i < RtspFront.MAX_FAULTY_MESSAGES; i++) {
            assertTrue(channel.isOpen());
            send(channel, setUpMessage(sessionId(i), "").replace("safe", "none"));
        }
        assertFalse(channel.isOpen());
    }

    @Test
    void retryAfterKeepsTheMeanAndNeverSaysNow() {
        // Rounded all one way, refused viewers that know Retry-After alone would come back in step or at once.
        java.util.SplittableRandom random = new java.util.SplittableRandom(3);
        long sum = 0;
        for (int i = 0; i < 1000; i++) {
            long told = RtspFront.retryAfterSeconds(1_400_000, 2_000_000, random);
            assertTrue(told == 1 || told == 2, "told " + told);
            sum += told;
        }
        assertTrue(sum > 1330 && sum < 1470, "mean of a thousand: " + sum);
        assertEquals(1, RtspFront.retryAfterSeconds(1000, 2_000_000, random));
        assertEquals(1, RtspFront.retryAfterSeconds(1_999_999, 1_999_999, random), "the settings' longest time holds");
        assertEquals(0, RtspFront.retryAfterSeconds(500_000, 900_000, random), "no whole second may be told");
    }
}
