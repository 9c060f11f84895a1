package dockshed.capacity;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dockshed.net.ByteHandler;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Edge servers on loopback that accept every set-up at once and end a session when they are told to. */
final class StandInEdgeServers implements AutoCloseable {

    private static final String DESCRIPTION = "v=0\\r\\n";
    private static final int CAUSE_OVER = 16;

    private final Net net = new Net("edge servers");
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Map<String, Channel> playing = new ConcurrentHashMap<>();

    StandInEdgeServers(int count) {
        for (int server = 0; server < count; server++) {
            Channel listening = net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), Connection::new)
                    .syncUninterruptibly()
                    .channel();
            addresses.add((InetSocketAddress) listening.localAddress());
        }
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Sessions that play. */
    int playing() {
        return playing.size();
    }

    /** Tells the broker that a session has played to its end; false if no such session plays. */
    boolean end(String session) {
        Channel channel = playing.remove(session);
        if (channel == null) {
            return false;
        }
        write(
                channel,
                "{\"type\":\"release\",\"id\":\"" + session + "\",\"fields\":{},\"cause\":" + CAUSE_OVER + "}\n");
        return true;
    }

    @Override
    public void close() {
        net.close();
    }

    private static void write(Channel channel, String line) {
        channel.writeAndFlush(Net.buf(line.getBytes(StandardCharsets.UTF_8)));
    }

    private void message(Channel channel, JsonObject message) {
        String session = message.get("id").getAsString();
        switch (message.get("type").getAsString()) {
            case "setup" -> {
                playing.put(session, channel);
                write(
                        channel,
                        "{\"type\":\"answer\",\"id\":\"" + session + "\",\"fields\":{},\"sdp\":\"" + DESCRIPTION
                                + "\"}\n");
            }
            case "release" -> playing.remove(session);
            case "ping" -> write(channel, "{\"type\":\"pong\",\"id\":\"" + session + "\",\"fields\":{},\"cause\":1}\n");
            default -> {} // ratings mean nothing here
        }
    }

    private final class Connection extends ByteHandler {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();

        @Override
        protected void bytes(ChannelHandlerContext ctx, byte[] bytes) {
            for (byte b : bytes) {
                if (b != '\n') {
                    line.write(b);
                    continue;
                }
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                message(ctx.channel(), JsonParser.parseString(text).getAsJsonObject());
            }
        }

        @Override
        protected void closed(ChannelHandlerContext ctx, boolean reset) {
            playing.values().removeIf(channel -> channel == ctx.channel());
        }
    }
}
