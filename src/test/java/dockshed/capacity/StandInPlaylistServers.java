package dockshed.capacity;

import dockshed.net.ByteHandler;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Stand-ins for HLS edge servers on loopback: they answer each GET at once with a multivariant or a live media playlist. */
final class StandInPlaylistServers implements AutoCloseable {

    private static final int MAX_REQUEST_BYTES = 1 << 16;
    private static final int SEGMENTS_PER_PLAYLIST = 6;
    private static final String MULTIVARIANT = """
            #EXTM3U
            #EXT-X-STREAM-INF:BANDWIDTH=2040000
            low.m3u8
            #EXT-X-STREAM-INF:BANDWIDTH=3400000
            mid.m3u8
            #EXT-X-STREAM-INF:BANDWIDTH=5648000
            top.m3u8
            """;

    private final Net net = new Net("playlist servers");
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final byte[] multivariant = answer(MULTIVARIANT);
    private final byte[] media = answer(livePlaylist());

    StandInPlaylistServers(int count) {
        for (int server = 0; server < count; server++) {
            Channel listening = net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), Connection::new)
                    .syncUninterruptibly()
                    .channel();
            addresses.add((InetSocketAddress) listening.localAddress());
        }
    }

    /** The servers' addresses. */
    List<InetSocketAddress> addresses() {
        return addresses;
    }

    @Override
    public void close() {
        net.close();
    }

    /** A live media playlist: without an end tag, so that a player keeps fetching it. */
    static String livePlaylist() {
        StringBuilder text = new StringBuilder("#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:2\n");
        text.append("#EXT-X-MEDIA-SEQUENCE:4711\n");
        for (int segment = 0; segment < SEGMENTS_PER_PLAYLIST; segment++) {
            text.append("#EXTINF:2.000,\nsegment-").append(4711 + segment).append(".ts\n");
        }
        return text.toString();
    }

    private static byte[] answer(String playlist) {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: application/vnd.apple.mpegurl\r\nContent-Length: "
                + playlist.length() + "\r\n\r\n";
        return (head + playlist).getBytes(StandardCharsets.UTF_8);
    }

    private final class Connection extends ByteHandler {
        private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(MAX_REQUEST_BYTES);

        @Override
        protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
            decoder.add(bytes, 0, bytes.length);
            try {
                for (HttpStyleMessage request = decoder.next(); request != null; request = decoder.next()) {
                    boolean master = request.startLinePart(1).endsWith("master.m3u8");
                    ctx.writeAndFlush(Net.toByteBuf(master ? multivariant : media));
                }
            } catch (HttpStyleMessage.MalformedMessageException malformed) {
                ctx.close();
            }
        }

        @Override
        protected void onClosed(ChannelHandlerContext ctx, boolean reset) {}
    }
}
