package dockshed.rtsp;

import static dockshed.core.BrokerHarness.MILLISECOND_US;
import static dockshed.core.BrokerHarness.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.Outcome;
import dockshed.core.BrokerHarness;
import dockshed.core.SessionRequest;
import dockshed.net.InputBudget;
import dockshed.net.InputLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** RTSP front with a harness for the broker's other sides, on channels without sockets. */
class RtspFrontTest {
    private final BrokerHarness harness = new BrokerHarness();
    private final RtspFront front =
            new RtspFront(harness.broker, harness, () -> harness.now, harness.timers, 3, InputLimits.unlimitedMemory());
    private final EmbeddedChannel channel = new EmbeddedChannel(front.accept());

    static String setUpMessage(String session, String extraHeaders) {
        return "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: " + session
                + "\r\nPriority-Class: safe\r\nExpires-Ms: 3000\r\n" + extraHeaders
                + "Content-Length: 9\r\n\r\nabc\r\nd=e\n";
    }

    static String sessionId(int number) {
        return String.format("%016x", number);
    }

    static void send(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    static List<String> received(EmbeddedChannel channel) {
        List<String> messages = new ArrayList<>();
        for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
            messages.add(buffer.toString(StandardCharsets.UTF_8));
            buffer.release();
        }
        return messages;
    }

    @Test
    void setUpIsAnsweredAndEndOfSessionIsSentAsTeardown() {
        send(channel, setUpMessage(sessionId(1), ""));
        assertEquals(List.of("server a setUp " + sessionId(1) + " left=2990"), harness.log);
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "x\r\né");
        harness.ended("a", sessionId(1), Outcome.OK);
        assertEquals(
                List.of(
                        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + sessionId(1)
                                + "\r\nContent-Length: 5\r\n\r\nx\r\né",
                        "TEARDOWN rtsp://media/" + sessionId(1) + " RTSP/1.0\r\nCSeq: 2\r\nSession: " + sessionId(1)
                                + "\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"),
                received(channel));
    }

    @Test
    void everySetUpFieldReachesTheDirector() {
        List<Object> seen = new ArrayList<>();
        harness.onRequest = r -> {
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
            harness.actions.fail(r.id());
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
    void refusalCarriesPBackOffAndRetryAfter() {
        harness.onRequest = r -> harness.actions.refuse(r.id(), 700 * MILLISECOND_US);
        send(channel, setUpMessage(sessionId(1), ""));
        String answer = received(channel).get(0);
        assertTrue(
                answer.startsWith("RTSP/1.0 503 ")
                        && answer.contains("\r\nP-Back-Off: 700\r\n")
                        && answer.contains("\r\nRetry-After: 1\r\n"),
                answer);
    }

    @Test
    void requestPastItsDeadlineIsAnsweredWith504() {
        send(channel, setUpMessage(sessionId(1), ""));
        harness.advance(3 * SECOND_US);
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 504 "));
    }

    @Test
    void optionsRequestIsAnsweredWithItsCSeqAndSession() {
        send(channel, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: ab\r\nContent-Length: 0\r\n\r\n");
        assertEquals(
                List.of("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: ab\r\nContent-Length: 0\r\n\r\n"), received(channel));
    }

    @Test
    void setUpsAreParsedWhetherSplitOrCombined() {
        String both = setUpMessage(sessionId(1), "") + setUpMessage(sessionId(2), "");
        for (char c : both.toCharArray()) {
            send(channel, String.valueOf(c));
        }
        send(channel, setUpMessage(sessionId(3), "") + setUpMessage(sessionId(4), ""));
        assertEquals(4, harness.count("server a setUp"));
    }

    @Test
    void invalidSetUpGets400AndConnectionStaysOpen() {
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
        assertEquals(0, harness.broker.unansweredRequests());
    }

    /** Inputs that each make the front close the connection; set-ups sent before them must still be answered. */
    private static List<String> connectionClosingInputs() {
        String faultySetUps = "";
        for (int i = 0; i < RtspFront.MAX_FAULTY_MESSAGES; i++) {
            faultySetUps += setUpMessage(sessionId(100 + i), "").replace("safe", "none");
        }
        return List.of(
                "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n" + setUpMessage(sessionId(2), ""),
                setUpMessage(sessionId(2), "X: " + "y".repeat(16 * 1024) + "\r\n"),
                setUpMessage(sessionId(2), "").replace("Length: 9", "Length: nine"),
                faultySetUps,
                setUpMessage(sessionId(2), "") + setUpMessage(sessionId(2), ""));
    }

    /**
     * A malformed message after a complete set-up closed the connection at once, so a set-up already accepted, even a
     * paid one, got no answer.
     */
    @Test
    void openSetUpIsAnsweredBeforeItsConnectionCloses() {
        for (String closingInput : connectionClosingInputs()) {
            BrokerHarness harness = new BrokerHarness();
            EmbeddedChannel viewer = new EmbeddedChannel(new RtspFront(
                            harness.broker,
                            harness,
                            () -> harness.now,
                            harness.timers,
                            3,
                            InputLimits.unlimitedMemory())
                    .accept());
            send(viewer, setUpMessage(sessionId(1), ""));
            send(viewer, closingInput);
            List<String> answers = received(viewer);
            assertTrue(answers.stream().allMatch(answer -> answer.startsWith("RTSP/1.0 400 ")), closingInput);
            assertTrue(viewer.isOpen(), closingInput);
            send(viewer, setUpMessage(sessionId(3), ""));
            assertEquals(0, harness.count("server a setUp " + sessionId(3)), "accepted after the end: " + closingInput);
            harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "x");
            viewer.runPendingTasks();
            assertEquals(
                    1,
                    received(viewer).stream()
                            .filter(answer ->
                                    answer.startsWith("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + sessionId(1) + "\r\n")
                                            && answer.endsWith("x"))
                            .count(),
                    closingInput);
            assertFalse(viewer.isOpen(), closingInput);
            assertEquals(1, harness.broker.activeSessions());
        }
    }

    @Test
    void incompleteMessageDoesNotLoseTheAnswerOfAnEarlierSetUp() {
        send(channel, setUpMessage(sessionId(1), "").replace("safe", "paid"));
        send(channel, setUpMessage(sessionId(2), "").substring(0, 60));
        harness.advance(RtspFront.MESSAGE_TIMEOUT_US + SECOND_US / 2);
        List<String> answers = received(channel);
        assertEquals(1, answers.size());
        assertTrue(answers.get(0).startsWith("RTSP/1.0 400 ") && !answers.get(0).contains("Session"), answers.get(0));
        harness.advance(SECOND_US); // the edge server does not answer before the client deadline
        assertTrue(received(channel)
                .get(0)
                .startsWith("RTSP/1.0 504 Gateway Time-out\r\nCSeq: 1\r\nSession: " + sessionId(1)));
        assertFalse(channel.isOpen());
        assertEquals(0, harness.broker.unansweredRequests());
    }

    @Test
    void internalErrorDoesNotLoseTheAnswerOfAnOpenSetUp() {
        send(channel, setUpMessage(sessionId(1), ""));
        channel.pipeline().fireExceptionCaught(new IllegalStateException("simulated failure"));
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "x");
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 200 "));
        assertFalse(channel.isOpen());
    }

    /**
     * Closing discards bytes that the system has not accepted yet: a viewer that was slow to read got half an answer
     * when its connection was closed to make room.
     */
    @Test
    void connectionWithUnwrittenAnswerIsNotEvicted() {
        List<Object> unflushed = new ArrayList<>();
        List<io.netty.channel.ChannelPromise> promises = new ArrayList<>();
        EmbeddedChannel slow = new EmbeddedChannel(
                new io.netty.channel.ChannelOutboundHandlerAdapter() {
                    @Override
                    public void flush(io.netty.channel.ChannelHandlerContext ctx) {
                        if (promises.isEmpty()) {
                            unflushed.add(ctx); // the viewer's receive window is full
                        }
                    }
                },
                front.accept());
        send(slow, setUpMessage(sessionId(1), ""));
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "x");
        slow.unsafe().outboundBuffer().addFlush();
        new EmbeddedChannel(front.accept());
        new EmbeddedChannel(front.accept());
        harness.advance(SECOND_US);
        new EmbeddedChannel(front.accept());
        harness.advance(RtspFront.CLOSE_DELAY_US);
        assertTrue(slow.isOpen());
        harness.advance(RtspFront.LINGER_TIMEOUT_US + SECOND_US);
        assertEquals(
                3,
                java.util.stream.Stream.generate(() -> new EmbeddedChannel(front.accept()))
                        .limit(3)
                        .filter(EmbeddedChannel::isOpen)
                        .count(),
                "the unread answer protects its connection only for a limited time");
    }

    @Test
    void oversizedMessageClosesTheConnection() {
        send(channel, setUpMessage(sessionId(1), "X: " + "y".repeat(16 * 1024) + "\r\n"));
        assertFalse(channel.isOpen());
        assertEquals(0, harness.broker.unansweredRequests());
    }

    @Test
    void teardownCancelsSetUpOrReleasesSessionAndIsAnswered() {
        String teardown = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + sessionId(1) + "\r\n";
        send(channel, setUpMessage(sessionId(1), "") + teardown + "\r\n");
        assertEquals(0, harness.count("server a setUp"), "cancelled within the read that brought the set-up");
        send(channel, setUpMessage(sessionId(1), ""));
        send(channel, teardown + "\r\n");
        assertEquals(1, harness.count("server a cancelSetUp"));
        assertEquals(
                List.of("200", "200"),
                received(channel).stream().map(answer -> answer.split(" ")[1]).toList());
        assertEquals(0, harness.broker.unansweredRequests());
        send(channel, setUpMessage(sessionId(1), ""));
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "");
        send(channel, teardown + "Reason: cause=31\r\n\r\n");
        assertEquals(1, harness.count("server a release"));
        assertEquals(
                List.of("200", "200"),
                received(channel).stream().map(answer -> answer.split(" ")[1]).toList());
    }

    @Test
    void setUpForAPlayingSessionIsNotAnswered() {
        send(
                channel,
                setUpMessage(sessionId(1), "P-Trunk-Info: home:0;copies:3;top:4;viewer:00;at:b\r\n")
                        .repeat(2));
        assertEquals(List.of(), received(channel));
        assertEquals(1, harness.count("module adoptSession b"));
    }

    @Test
    void endOfSessionIsSentOnAnotherConnectionIfItsOwnHasClosed() {
        send(channel, setUpMessage(sessionId(1), ""));
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "");
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        send(other, setUpMessage(sessionId(2), ""));
        channel.close();
        harness.ended("a", sessionId(1), Outcome.RESET);
        assertTrue(received(other).get(0).contains("\r\nReason: cause=41\r\n"));
    }

    /**
     * An edge server's answer can cross with the loss of the viewer's connection; without a release nobody would
     * watch that session.
     */
    @Test
    void sessionIsReleasedIfItsAnswerCannotBeWritten() {
        send(channel, setUpMessage(sessionId(1), ""));
        channel.pipeline().addFirst(new io.netty.channel.ChannelOutboundHandlerAdapter() {
            @Override
            public void write(
                    io.netty.channel.ChannelHandlerContext ctx, Object msg, io.netty.channel.ChannelPromise p) {
                io.netty.util.ReferenceCountUtil.release(msg);
                p.setFailure(new java.io.IOException("simulated failure"));
            }
        });
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "");
        assertEquals(1, harness.count("server a release " + sessionId(1)));
        assertEquals(0, harness.broker.activeSessions());
    }

    @Test
    void slowReaderIsNotReadFromUntilItCatchesUp() {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        channel.runPendingTasks();
        assertFalse(channel.config().isAutoRead());
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        channel.runPendingTasks();
        assertTrue(channel.config().isAutoRead());
    }

    /**
     * Hundreds of connections that sent nothing, or one OPTIONS and then stayed open, used up the connection limit,
     * and viewers were turned away.
     */
    @Test
    void connectionsWithoutSetUpsAreEvictedFirst() {
        send(channel, setUpMessage(sessionId(1), ""));
        EmbeddedChannel optionsOnly = new EmbeddedChannel(front.accept());
        send(optionsOnly, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
        EmbeddedChannel silent = new EmbeddedChannel(front.accept());
        harness.advance(SECOND_US);
        EmbeddedChannel fourth = new EmbeddedChannel(front.accept());
        assertEquals(List.of(true, true, false, true), areOpen(channel, optionsOnly, silent, fourth));
        send(fourth, setUpMessage(sessionId(2), ""));
        EmbeddedChannel fifth = new EmbeddedChannel(front.accept());
        assertTrue(optionsOnly.isOpen(), "received bytes are read before it is closed");
        harness.advance(RtspFront.CLOSE_DELAY_US);
        assertEquals(List.of(true, false, true, true), areOpen(channel, optionsOnly, fourth, fifth));
        send(fifth, setUpMessage(sessionId(3), ""));
        assertFalse(new EmbeddedChannel(front.accept()).isOpen(), "each of the others has a set-up open");
        harness.broker.setUpAnswered(harness.now, "a", sessionId(2), "");
        harness.advance(SECOND_US);
        assertTrue(new EmbeddedChannel(front.accept()).isOpen());
        harness.advance(RtspFront.CLOSE_DELAY_US);
        assertEquals(List.of(true, false, true), areOpen(channel, fourth, fifth));
        assertEquals(1, harness.broker.activeSessions(), "a session belongs to no connection");
    }

    /**
     * Under load the event loop lagged: a connection was closed to make room while a set-up on it was still to be read.
     */
    @Test
    void unreadSetUpProtectsItsConnectionFromEviction() {
        send(channel, setUpMessage(sessionId(1), ""));
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "");
        EmbeddedChannel second = new EmbeddedChannel(front.accept());
        send(second, setUpMessage(sessionId(2), ""));
        EmbeddedChannel third = new EmbeddedChannel(front.accept());
        send(third, setUpMessage(sessionId(3), ""));
        harness.advance(SECOND_US);
        new EmbeddedChannel(front.accept());
        send(channel, setUpMessage(sessionId(4), ""));
        harness.advance(SECOND_US / 4);
        assertTrue(channel.isOpen());
        harness.broker.setUpAnswered(harness.now, "a", sessionId(4), "x");
        assertEquals(
                List.of("200", "200"),
                received(channel).stream().map(answer -> answer.split(" ")[1]).toList());
    }

    private static List<Boolean> areOpen(EmbeddedChannel... channels) {
        return java.util.Arrays.stream(channels).map(EmbeddedChannel::isOpen).toList();
    }

    /**
     * A viewer that sends nothing, or stops within a message, must get an error or a close within three seconds of
     * connecting.
     */
    @Test
    void silentOrIncompleteViewerIsDisconnectedInTime() {
        EmbeddedChannel incomplete = new EmbeddedChannel(front.accept());
        send(incomplete, setUpMessage(sessionId(1), "").substring(0, 60));
        EmbeddedChannel served = new EmbeddedChannel(front.accept());
        send(served, setUpMessage(sessionId(2), ""));
        harness.broker.setUpAnswered(harness.now, "a", sessionId(2), "");
        harness.advance(RtspFront.MESSAGE_TIMEOUT_US + SECOND_US / 2);
        assertEquals(List.of(false, false, true), areOpen(channel, incomplete, served));
        assertTrue(received(incomplete).get(0).startsWith("RTSP/1.0 400 "));
        received(served);
        send(served, "SETUP rtsp");
        harness.advance(RtspFront.MESSAGE_TIMEOUT_US + SECOND_US / 2);
        assertTrue(received(served).get(0).startsWith("RTSP/1.0 400 "));
    }

    /** With two requests under one session name, the edge server's answer could belong to either. */
    @Test
    void secondSetUpForOneSessionIsRejected() {
        send(channel, setUpMessage(sessionId(1), ""));
        send(channel, setUpMessage(sessionId(1), ""));
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(1, harness.count("server a cancelSetUp"));
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "");
        assertEquals(0, harness.broker.counts().served);
    }

    /**
     * A connection that was to close after its answers stayed open until the viewer closed it, as it kept waiting for
     * a set-up that had been torn down on another connection.
     */
    @Test
    void endingConnectionClosesWhenItsLastSetUpIsCancelledElsewhere() {
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        send(channel, setUpMessage(sessionId(1), ""));
        send(channel, "GET / HTTP/1.1\r\n\r\n");
        assertTrue(channel.isOpen());
        send(other, "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + sessionId(1) + "\r\n\r\n");
        assertFalse(channel.isOpen());
        assertEquals(1, harness.count("server a cancelSetUp"));
    }

    /** A duplicate on one connection must not affect a set-up for the same session on another connection. */
    @Test
    void duplicateSetUpInOneReadIsNotAttempted() {
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        send(other, setUpMessage(sessionId(1), ""));
        send(channel, setUpMessage(sessionId(1), "") + setUpMessage(sessionId(1), ""));
        List<String> answers =
                received(channel).stream().filter(answer -> !answer.isEmpty()).toList();
        assertEquals(1, answers.size(), answers.toString());
        assertTrue(answers.get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(1, harness.count("server a setUp"), "only the other connection's set-up");
        assertEquals(0, harness.count("server a cancelSetUp"));
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "");
        assertTrue(received(other).get(0).startsWith("RTSP/1.0 200 "));
    }

    @Test
    void sessionOfAnotherConnectionIsNotTakenOver() {
        EmbeddedChannel other = new EmbeddedChannel(front.accept());
        send(channel, setUpMessage(sessionId(1), ""));
        send(other, setUpMessage(sessionId(1), "").replace("abc", "xyz"));
        assertTrue(received(other).get(0).startsWith("RTSP/1.0 400 "));
        other.close();
        harness.broker.setUpAnswered(harness.now, "a", sessionId(1), "");
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 200 "));
    }

    /**
     * The edge server does not see these numbers and would accept the set-up, so a viewer that sends impossible ones
     * would be served.
     */
    @Test
    void invalidNumbersAreRejected() {
        for (String info : List.of(
                "home:-1;copies:3;top:4",
                "home:3;copies:3;top:4",
                "home:0;copies:4;top:4",
                "home:0;copies:3;top:5",
                "home:0;copies:3;top:99999999999",
                "home:1e0;copies:3;top:4",
                "home:0;copies:NaN;top:4",
                "home:0;copies:3;top:4;at:nowhere")) {
            EmbeddedChannel viewer = new EmbeddedChannel(front.accept());
            send(viewer, setUpMessage(sessionId(1), "P-Trunk-Info: " + info + "\r\n"));
            assertTrue(received(viewer).get(0).startsWith("RTSP/1.0 400 "), info);
            viewer.close();
        }
        for (String expiresMs : List.of("99999999", "1e3", "0x1p9", "3000d", "Infinity", "3,000", "")) {
            EmbeddedChannel viewer = new EmbeddedChannel(front.accept());
            send(viewer, setUpMessage(sessionId(1), "").replace("3000", expiresMs));
            assertTrue(received(viewer).get(0).startsWith("RTSP/1.0 400 "), expiresMs);
            viewer.close();
        }
        // A truncated description, as if Content-Length were too small.
        send(channel, setUpMessage(sessionId(1), "").replace("d=e\n", "d=e!"));
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(List.of(), harness.log);
    }

    @Test
    void connectionIsClosedAfterTooManyFaultyMessages() {
        for (int i = 0; i < RtspFront.MAX_FAULTY_MESSAGES; i++) {
            assertTrue(channel.isOpen());
            send(channel, setUpMessage(sessionId(i), "").replace("safe", "none"));
        }
        assertFalse(channel.isOpen());
    }

    /**
     * If Retry-After were always rounded the same way, refused viewers that know no P-Back-Off would all come back at
     * the same moment, or at once.
     */
    @Test
    void retryAfterRoundingKeepsTheMeanWithinItsBounds() {
        java.util.SplittableRandom random = new java.util.SplittableRandom(3);
        long sum = 0;
        for (int i = 0; i < 1000; i++) {
            long seconds = RtspFront.retryAfterSeconds(1_400_000, 2_000_000, random);
            assertTrue(seconds == 1 || seconds == 2, "Retry-After " + seconds);
            sum += seconds;
        }
        assertTrue(sum > 1330 && sum < 1470, "sum of a thousand values: " + sum);
        assertEquals(1, RtspFront.retryAfterSeconds(1000, 2_000_000, random));
        assertEquals(1, RtspFront.retryAfterSeconds(1_999_999, 1_999_999, random), "never above the settings' maximum");
        assertEquals(0, RtspFront.retryAfterSeconds(500_000, 900_000, random), "the maximum is under a second");
    }

    @Test
    void ofTooManyIncompleteMessagesTheOldestIsRefused() {
        // Guards against memory that clients fill by stopping half way through large messages.
        RtspFront ownFront = new RtspFront(
                harness.broker,
                harness,
                () -> harness.now,
                harness.timers,
                10,
                new InputLimits(new InputBudget(2 * 20_000)));
        EmbeddedChannel slow = new EmbeddedChannel(ownFront.accept());
        EmbeddedChannel later = new EmbeddedChannel(ownFront.accept());
        EmbeddedChannel usual = new EmbeddedChannel(ownFront.accept());
        String half = "SETUP rtsp://media/a RTSP/1.0\r\nX: " + "x".repeat(9_000);
        send(slow, half);
        send(later, half);
        assertEquals(List.of(), received(slow));
        send(usual, "SETUP rtsp://media/a RTSP/1.0\r\nX: " + "x".repeat(5_000));
        assertTrue(received(slow).get(0).startsWith("RTSP/1.0 503 "));
        send(usual, "\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n");
        assertTrue(received(usual).get(0).startsWith("RTSP/1.0 400 "), "complete, though without a session");
        assertEquals(List.of(), received(later));
    }

    @Test
    void setUpsBeyondTheMemoryForThemAreRefusedAndOthersStillTaken() {
        // Guards against a heap full of set-ups with large descriptions that wait for their edge servers.
        RtspFront ownFront = new RtspFront(
                harness.broker,
                harness,
                () -> harness.now,
                harness.timers,
                10,
                new InputLimits(new InputBudget(2 * 200_000)));
        EmbeddedChannel heavy = new EmbeddedChannel(ownFront.accept());
        String description = "d".repeat(15_000) + "\n";
        for (int i = 1; i <= 20; i++) {
            send(
                    heavy,
                    setUpMessage(sessionId(i), "")
                            .replace(
                                    "Content-Length: 9\r\n\r\nabc\r\nd=e\n",
                                    "Content-Length: 15001\r\n\r\n" + description));
        }
        List<String> refused = received(heavy);
        assertEquals(20, refused.size() + harness.count("server a setUp"));
        assertTrue(harness.count("server a setUp") <= 200_000 / 30_000, "taken: " + harness.log.size());
        assertTrue(refused.stream()
                .allMatch(answer -> answer.startsWith("RTSP/1.0 503 ") && answer.contains("P-Back-Off: ")));
        EmbeddedChannel usual = new EmbeddedChannel(ownFront.accept());
        send(usual, setUpMessage(sessionId(99), ""));
        harness.broker.setUpAnswered(harness.now, "a", sessionId(99), "x");
        assertTrue(received(usual).get(0).startsWith("RTSP/1.0 200 "));
        harness.advance(3 * SECOND_US); // those taken are answered, and their memory is free again
        received(heavy);
        send(heavy, setUpMessage(sessionId(100), ""));
        assertEquals(List.of(), received(heavy));
    }

    @Test
    void viewerIdThatIsTooLongForTablesIsRejected() {
        // Guards against histories of viewers that keep ids as long as a message.
        String longest = "v".repeat(SessionRequest.MAX_VIEWER_LENGTH);
        send(channel, setUpMessage(sessionId(1), "P-Trunk-Info: home:0;copies:3;top:2;viewer:" + longest + "\r\n"));
        assertEquals(1, harness.count("server a setUp"));
        send(channel, setUpMessage(sessionId(2), "P-Trunk-Info: home:0;copies:3;top:2;viewer:" + longest + "v\r\n"));
        assertTrue(received(channel).get(0).startsWith("RTSP/1.0 400 "));
        assertEquals(1, harness.count("server a setUp"));
    }
}
