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

/** UDP datagrams between the brokers of a fleet; they may be late or lost. */
public final class UdpPeers implements Peers, DatagramPeers {
    /** Longer datagrams are neither sent nor accepted. */
    static final int MAX_DATAGRAM_BYTES = 256;

    private static final Logger LOG = LoggerFactory.getLogger(UdpPeers.class);

    private final List<InetSocketAddress> brokers;
    private final InetSocketAddress allBrokersAddress;
    private final Map<InetSocketAddress, Integer> numberByAddress = new HashMap<>();
    private Channel channel;

    /**
     * The brokers' addresses in the order of their numbers.
     *
     * @param allBrokersAddress reaches all brokers at once; null: each one is sent to
     */
    public UdpPeers(List<InetSocketAddress> brokers, InetSocketAddress allBrokersAddress) {
        this.brokers = List.copyOf(brokers);
        this.allBrokersAddress = allBrokersAddress;
        for (int i = 0; i < brokers.size(); i++) {
            numberByAddress.putIfAbsent(brokers.get(i), i);
        }
    }

    /** The number of the broker that sends from this address; -1 if none does. */
    public int brokerNumber(InetSocketAddress sender) {
        return numberByAddress.getOrDefault(sender, -1);
    }

    @Override
    public void listen(Net net, InetSocketAddress address, Receiver receiver) {
        channel = net.bindDatagrams(address, new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        int from = brokerNumber(packet.sender());
                        if (from < 0 || packet.content().readableBytes() > MAX_DATAGRAM_BYTES) {
                            LOG.debug("datagram dropped, unknown sender or too long: sender={}", packet.sender());
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
                        .filter(address -> !address.equals(channel.localAddress()))
                        .toList();
        for (InetSocketAddress address : to) {
            channel.writeAndFlush(new DatagramPacket(Net.toByteBuf(message), address));
        }
    }

    /** Drops a datagram that cannot be sent: a later one has newer information anyway. */
    @Override
    public void send(int to, byte[] message) {
        if (channel != null && message.length <= MAX_DATAGRAM_BYTES && to >= 0 && to < brokers.size()) {
            channel.writeAndFlush(new DatagramPacket(Net.toByteBuf(message), brokers.get(to)));
        }
    }
}
