package dockshed.rtsp;

import dockshed.Director.Outcome;
import dockshed.core.Broker;
import dockshed.core.Front;
import dockshed.core.Servers;
import dockshed.core.Wish;
import dockshed.net.ByteHandler;
import dockshed.net.Clock;
import dockshed.net.Headed;
import dockshed.net.HeadedDecoder;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Viewers that speak the platform's RTSP. Turns their messages into the broker's calls and back; owns no rule. */
public final class RtspFront implements Front {
    static final int MESSAGE_LIMIT = 16 * 1024;
    private static final Logger LOG = LoggerFactory.getLogger(RtspFront.class);
    private static final byte[] NOTHING = new byte[0];

    private final Broker broker;
    private final Servers servers;
    private final Clock clock;
    private final int mostConnections;
    private final Map<Long, Channel> channels = new HashMap<>();

    /** Viewers keep to a third of the descriptors; beyond {@code mostConnections} new ones are closed. */
    public RtspFront(Broker broker, Servers servers, Clock clock, int mostConnections) {
        this.mostConnections = mostConnections;
        this.broker = broker;
        this.servers = servers;
        this.clock = clock;
    }

    /** The handler of a new connection. */
    public ByteHandler accept() {
        return new Connection();
    }

    private final class Connection extends ByteHandler {
        private final HeadedDecoder decoder = new HeadedDecoder(MESSAGE_LIMIT);
        private long handle;
        private boolean ending;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (channels.size() >= mostConnections) {
                LOG.warn("viewer's connection turned away: open={}", channels.size());
                ending = true;
                ctx.close();
                return;
            }
            handle = broker.connected(clock.now(), RtspFront.this, h -> channels.put(h, ctx.channel()));
        }

        @Override
        protected void bytes(ChannelHandlerContext ctx, byte[] bytes) {
            if (ending) {
                return;
            }
            decoder.add(bytes, 0, bytes.length);
            try {
                for (Headed m = decoder.next(); m != null; m = decoder.next()) {
                    message(ctx.channel(), handle, m);
                }
            } catch (Headed.Malformed e) {
                ending = true;
                LOG.warn("viewer's message malformed: remote={} why={}", ctx.channel().remoteAddress(), e.getMessage());
                reply(ctx.channel(), 400, "Bad Request", null)
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        protected void closed(ChannelHandlerContext ctx, boolean reset) {
            channels.remove(handle);
            broker.disconnected(clock.now(), handle);
        }
    }

    private void message(Channel ch, long connection, Headed m) throws Headed.Malformed {
        if (m.first().startsWith("RTSP/")) {
            if ("2".equals(m.header("cseq"))) {
                broker.heard(connection, m.header("session", ""));
            }
            return;
        }
        if (!m.word(2).equals("RTSP/1.0") || !m.word(1).startsWith("rtsp://")) {
            throw new Headed.Malformed("first line is no RTSP request");
        }
        switch (m.word(0)) {
            case "SETUP" -> setUp(ch, connection, m);
            case "TEARDOWN" -> {
                broker.leave(clock.now(), m.header("session", ""));
                reply(ch, 200, "OK", m);
            }
            case "OPTIONS" -> reply(ch, 200, "OK", m);
            case "ANNOUNCE", "REDIRECT", "SET_PARAMETER" -> { }    // want no answer
            default -> reply(ch, 501, "Not Implemented", m);
        }
    }

    private void setUp(Channel ch, long connection, Headed m) {
        SetUpFields f;
        try {
            f = SetUpFields.read(m);
        } catch (IllegalArgumentException e) {
            LOG.warn("set-up refused as malformed: remote={} why={}", ch.remoteAddress(), e.getMessage());
            reply(ch, 400, "Bad Request", m);
            return;
        }
        Wish wish = f.wish();
        if (f.at() != null) {
            broker.open(clock.now(), connection, this, servers, wish, f.at());
        } else if (!broker.request(clock.now(), connection, this, servers, wish)) {
            LOG.warn("set-up refused: session={} class={} why=held already or class unknown", wish.name(),
                    wish.className());
            reply(ch, 400, "Bad Request", m);
        }
    }

    // ---- From the broker.

    @Override
    public void served(long connection, String name, Granted granted) {
        answer(connection, name, 200, "OK", granted.description().getBytes(StandardCharsets.UTF_8), Map.of());
    }

    @Override
    public void refused(long connection, String name, long comeBack) {
        answer(connection, name, 453, "Not Enough Bandwidth", NOTHING,
                comeBack > 0 ? Map.of("P-Back-Off", Long.toString(comeBack / 1000)) : Map.of());
    }

    @Override
    public void failed(long connection, String name, boolean late) {
        answer(connection, name, late ? 504 : 500, late ? "Gateway Time-out" : "Internal Server Error", NOTHING,
                Map.of());
    }

    @Override
    public void over(long connection, String name, Outcome outcome) {
        request(connection, "TEARDOWN", name, "cause=" + (outcome == Outcome.OK ? 16 : 41));
    }

    @Override
    public void moved(long connection, String name) {
        request(connection, "REDIRECT", name, null);
    }

    private void answer(long connection, String name, int code, String phrase, byte[] body, Map<String, String> more) {
        Channel ch = channels.get(connection);
        if (ch == null) {
            if (code == 200) {
                broker.undelivered(clock.now(), name);
            }
            return;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("CSeq", "1");
        headers.put("Session", name);
        headers.putAll(more);
        ch.writeAndFlush(Net.buf(Headed.encode("RTSP/1.0 " + code + " " + phrase, headers, body)))
                .addListener(done -> {
                    if (!done.isSuccess() && code == 200) {
                        broker.undelivered(clock.now(), name);
                    }
                });
    }

    private void request(long connection, String method, String name, String reason) {
        Channel ch = channels.get(connection);
        if (ch == null) {
            return;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("CSeq", method.equals("TEARDOWN") ? "2" : "4");
        headers.put("Session", name);
        if (reason != null) {
            headers.put("Reason", reason);
        }
        ch.writeAndFlush(Net.buf(Headed.encode(method + " rtsp://media/" + name + " RTSP/1.0", headers, NOTHING)));
    }

    /** Answers a request of the viewer's at once, with its own CSeq and session. */
    private static ChannelFuture reply(Channel ch, int code, String phrase, Headed to) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (to != null) {
            for (String name : List.of("CSeq", "Session")) {
                String value = to.header(name.toLowerCase(Locale.ROOT));
                if (value != null) {
                    headers.put(name, value);
                }
            }
        }
        return ch.writeAndFlush(Net.buf(Headed.encode("RTSP/1.0 " + code + " " + phrase, headers, NOTHING)));
    }
}
