package dockshed.rig;

import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * Carries datagrams between brokers that run as processes, and can lose, delay, duplicate and reorder them, or cut a
 * connection in one direction or both. There is a socket for each ordered pair of brokers, so that each broker has its own
 * address for each other one.
 */
public final class LossyNetwork {
    private final Net net;
    private final Channel[][] sockets; // [a][b]: the address of b for a
    private final InetSocketAddress[] brokerAddresses;
    private final boolean[][] cut;
    private final SplittableRandom random = new SplittableRandom(5);
    volatile double loss; // share of datagrams
    volatile double duplication; // share of datagrams
    volatile int maxDelayMillis;

    public LossyNetwork(Net net, InetSocketAddress[] brokerAddresses) {
        this.net = net;
        this.brokerAddresses = brokerAddresses;
        int brokers = brokerAddresses.length;
        sockets = new Channel[brokers][brokers];
        cut = new boolean[brokers][brokers];
        for (int sender = 0; sender < brokers; sender++) {
            for (int receiver = 0; receiver < brokers; receiver++) {
                sockets[sender][receiver] = sender == receiver ? null : open(sender, receiver);
            }
        }
    }

    private Channel open(int sender, int receiver) {
        return net.bindDatagrams(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                                forward(sender, receiver, Net.toBytes(packet.content()));
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext context, Throwable cause) {} // the broker is not running
                        })
                .syncUninterruptibly()
                .channel();
    }

    /** The address under which {@code knownTo} reaches {@code broker}. */
    public InetSocketAddress addressOf(int knownTo, int broker) {
        return knownTo == broker
                ? brokerAddresses[knownTo]
                : (InetSocketAddress) sockets[knownTo][broker].localAddress();
    }

    /** Sets the share of datagrams that are lost from now on. */
    public void setLoss(double share) {
        loss = share;
    }

    /** Cuts the connections, given by sender and receiver, for which the predicate holds, and restores all others. */
    public void cutWhere(BiPredicate<Integer, Integer> isCut) {
        net.callOnLoop(() -> {
            for (int sender = 0; sender < cut.length; sender++) {
                for (int receiver = 0; receiver < cut.length; receiver++) {
                    cut[sender][receiver] = isCut.test(sender, receiver);
                }
            }
            return null;
        });
    }

    /** Carries a datagram as if {@code sender} had sent it; to be called on the event loop's thread. */
    void forward(int sender, int receiver, byte[] datagram) {
        if (cut[sender][receiver] || random.nextDouble() < loss) {
            return;
        }
        int copies = random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            Runnable deliver = () -> sockets[receiver][sender].writeAndFlush(
                    new DatagramPacket(Net.toByteBuf(datagram), brokerAddresses[receiver]));
            if (maxDelayMillis > 0) {
                net.loop().schedule(deliver, random.nextInt(maxDelayMillis + 1), TimeUnit.MILLISECONDS);
            } else {
                deliver.run();
            }
        }
    }

    /** Cuts, or restores, the connections from all senders to all receivers, in this direction only. */
    void cut(int[] senders, int[] receivers, boolean enabled) {
        net.callOnLoop(() -> {
            for (int sender : senders) {
                for (int receiver : receivers) {
                    cut[sender][receiver] = enabled;
                }
            }
            return null;
        });
    }

    /** Drops, or delivers again, all that a broker sends; what others send to it is still delivered. */
    void mute(int broker, boolean enabled) {
        net.callOnLoop(() -> {
            for (int receiver = 0; receiver < cut.length; receiver++) {
                cut[broker][receiver] = enabled;
            }
            return null;
        });
    }

    /** Cuts the first brokers off from the others in both directions, or restores all connections. */
    void split(int first, boolean enabled) {
        cutWhere((sender, receiver) -> enabled && sender < first != receiver < first);
    }
}
