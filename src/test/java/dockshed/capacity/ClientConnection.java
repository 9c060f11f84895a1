package dockshed.capacity;

import dockshed.net.ByteHandler;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;

/** A client connection for RTSP or HTTP: writes requests, and passes received messages and its end to a listener. */
final class ClientConnection extends ByteHandler {

    /** Receives the events of connections, on their event loop's thread. */
    interface Listener {
        /** The connection is open. */
        void connected(ClientConnection connection);

        /** A whole message was received. */
        void message(ClientConnection connection, HttpStyleMessage message);

        /** The connection could not be opened, or was closed by either side. */
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

    /** Starts to connect; the listener is notified of the result. */
    static ClientConnection open(Net net, InetSocketAddress to, Listener listener) {
        ClientConnection connection = new ClientConnection(listener);
        net.whenDone(net.connect(to, CONNECT_TIMEOUT_MILLIS, () -> connection), done -> {
            if (!done.isSuccess()) {
                listener.closed(connection);
            }
        });
        return connection;
    }

    /** Writes a request; only while connected. */
    void write(byte[] request) {
        channel.writeAndFlush(Net.toByteBuf(request));
    }

    /** Closes the connection; nothing if it has not been opened. */
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
