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

    private final List<InetSocketAddress> brokers;
    private final InetSocketAddress allBrokersAddress;
    private final Map<InetSocketAddress, Integer> numberByAddress = new HashMap<>();
    private Channel channel;

    /** {@code all} may be null: then each is written to. */
    public UdpPeers(List<InetSocketAddress> each, InetSocketAddress all) {
        this.brokers = List.copyOf(each);
        this.allBrokersAddress = all;
        for (int i = 0; i < each.size(); i++) {
            numberByAddress.putIfAbsent(each.get(i), i);
        }
    }

    /** The number of the broker that sends from there; -1: none does. */
    public int brokerNumber(InetSocketAddress sender) {
        return numberByAddress.getOrDefault(sender, -1);
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
        List<InetSocketAddress> to = allBrokersAddress != null
                ? List.of(allBrokersAddress)
                : brokers.stream()
                        .filter(a -> !a.equals(channel.localAddress()))
                        .toList();
        for (InetSocketAddress a : to) {
            channel.writeAndFlush(new DatagramPacket(Net.toByteBuf(message), a));
        }
    }

    /** To one of them; dropped where the system takes no more: a later one tells more anyway. */
    @Override
    public void send(int to, byte[] message) {
        if (channel != null && message.length <= MAX_DATAGRAM_BYTES && to >= 0 && to < brokers.size()) {
            channel.writeAndFlush(new DatagramPacket(Net.toByteBuf(message), brokers.get(to)));
        }
    }
}
