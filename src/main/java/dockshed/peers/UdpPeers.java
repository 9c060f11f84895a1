package dockshed.peers;

import dockshed.core.Peers;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Datagrams between the brokers of the tier; they may be late or lost, and hold 256 bytes at most. */
public final class UdpPeers implements Peers, DatagramPeers {
    static final int MAX_DATAGRAM_BYTES = 256;
    private static final Logger LOG = LoggerFactory.getLogger(UdpPeers.class);

    private final List<InetSocketAddress> each;
    private final InetSocketAddress all;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private Channel channel;

    /** {@code all} may be null: then each is written to. */
    public UdpPeers(List<InetSocketAddress> each, InetSocketAddress all) {
        this.each = List.copyOf(each);
        this.all = all;
        for (int i = 0; i < each.size(); i++) {
            numbers.putIfAbsent(each.get(i), i);
        }
    }

    /** The number of the broker that sends from there; -1: none does. */
    public int brokerNumber(InetSocketAddress sender) {
        return numbers.getOrDefault(sender, -1);
    }

    @Override
    public void listen(Net net, InetSocketAddress at, Receiver receiver) {
        channel = net.bindDatagrams(at, new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        int from = brokerNumber(packet.sender());
                        if (from < 0 || packet.content().readableBytes() > MAX_DATAGRAM_BYTES) {
                            LOG.debug("datagram from nobody known: sender={}", packet.sender());
                            return;
                        }
                        receiver.receive(from, Net.toBytes(packet.content()));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        LOG.warn("datagram not handled: why={}", cause.toString());
                    }
                })
                .syncUninterruptibly()
                .channel();
    }

    @Override
    public void broadcast(byte[] message) {
        if (channel == null || message.length > MAX_DATAGRAM_BYTES) {
            LOG.warn("datagram not sent: bytes={}", message.length);
            return;
        }
        List<InetSocketAddress> to = all != null
                ? List.of(all)
                : each.stream().filter(a -> !a.equals(channel.localAddress())).toList();
        for (InetSocketAddress a : to) {
            channel.writeAndFlush(new DatagramPacket(Net.toByteBuf(message), a));
        }
    }

    /** To one of them; dropped where the system takes no more: a later one tells more anyway. */
    @Override
    public void send(int to, byte[] message) {
        if (channel != null && message.length <= MAX_DATAGRAM_BYTES && to >= 0 && to < each.size()) {
            channel.writeAndFlush(new DatagramPacket(Net.toByteBuf(message), each.get(to)));
        }
    }
}
