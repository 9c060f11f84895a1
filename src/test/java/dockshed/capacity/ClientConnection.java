package dockshed.capacity;

import dockshed.net.ByteHandler;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;

/** A client's connection, RTSP or HTTP: writes requests, hands on whole messages and its end. */
final class ClientConnection extends ByteHandler {

    /** What the client hears, on its loop's thread. */
    interface Listener {
        void connected(ClientConnection connection);

        void message(ClientConnection connection, HttpStyleMessage message);

        /** It could not be opened, or was closed by either side. */
        void closed(ClientConnection connection);
    }

    private static final int MAX_MESSAGE_BYTES = 1 << 16;
    private static final int CONNECT_TIMEOUT_MILLIS = 10_000;

    private final Listener listener;
    private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(MAX_MESSAGE_BYTES);
    private Channel channel;

    private ClientConnection(Listener listener) {
        this.listener = listener;
    }

    /** Begins to connect. */
    static ClientConnection open(Net net, InetSocketAddress to, Listener listener) {
        ClientConnection connection = new ClientConnection(listener);
        net.whenDone(net.connect(to, CONNECT_TIMEOUT_MILLIS, () -> connection), done -> {
            if (!done.isSuccess()) {
                listener.closed(connection);
            }
        });
        return connection;
    }

    void write(byte[] request) {
        channel.writeAndFlush(Net.toByteBuf(request));
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        listener.connected(this);
    }

    @Override
    protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
        decoder.add(bytes, 0, bytes.length);
        try {
            for (HttpStyleMessage message = decoder.next(); message != null; message = decoder.next()) {
                listener.message(this, message);
            }
        } catch (HttpStyleMessage.MalformedMessageException malformed) {
            ctx.close();
        }
    }

    @Override
    protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
        listener.closed(this);
    }
}
