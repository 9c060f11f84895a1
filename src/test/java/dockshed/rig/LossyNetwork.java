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
 * What carries datagrams between brokers that run as processes: one socket for each ordered pair, so that each broker knows
 * each other by an address of its own. It loses, delays, repeats and reorders, and is cut one way or both.
 */
public final class LossyNetwork {
    private final Net net;
    private final Channel[][] from; // [a][b]: what a knows as b
    private final InetSocketAddress[] listens;
    private final boolean[][] cut;
    private final SplittableRandom random = new SplittableRandom(5);
    volatile double loss;
    volatile double duplication;
    volatile int maxDelayMillis;

    public LossyNetwork(Net net, InetSocketAddress[] listens) {
        this.net = net;
        this.listens = listens;
        int n = listens.length;
        from = new Channel[n][n];
        cut = new boolean[n][n];
        for (int a = 0; a < n; a++) {
            for (int b = 0; b < n; b++) {
                from[a][b] = a == b ? null : open(a, b);
            }
        }
    }

    private Channel open(int a, int b) {
        return net.bindDatagrams(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) {
                                forward(a, b, Net.toBytes(p.content()));
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {} // nobody listens there now
                        })
                .syncUninterruptibly()
                .channel();
    }

    /** The address under which a knows b. */
    public InetSocketAddress addressOf(int a, int b) {
        return a == b ? listens[a] : (InetSocketAddress) from[a][b].localAddress();
    }

    /** The share of datagrams that it loses from now on. */
    public void setLoss(double share) {
        loss = share;
    }

    /** Cuts the links that the predicate holds for, from the first broker to the second, and joins all others. */
    public void cutWhere(BiPredicate<Integer, Integer> where) {
        net.callOnLoop(() -> {
            for (int a = 0; a < cut.length; a++) {
                for (int b = 0; b < cut.length; b++) {
                    cut[a][b] = where.test(a, b);
                }
            }
            return null;
        });
    }

    /** From a to b, as if a had sent it; on the loop's thread. */
    void forward(int a, int b, byte[] datagram) {
        if (cut[a][b] || random.nextDouble() < loss) {
            return;
        }
        int times = random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < times; i++) {
            Runnable deliver = () -> from[b][a].writeAndFlush(new DatagramPacket(Net.toByteBuf(datagram), listens[b]));
            if (maxDelayMillis > 0) {
                net.loop().schedule(deliver, random.nextInt(maxDelayMillis + 1), TimeUnit.MILLISECONDS);
            } else {
                deliver.run();
            }
        }
    }

    /** Cuts, or joins again, what goes from any of some brokers to any of others: one way only. */
    void cut(int[] from, int[] to, boolean is) {
        net.callOnLoop(() -> {
            for (int a : from) {
                for (int b : to) {
                    cut[a][b] = is;
                }
            }
            return null;
        });
    }

    /** Whether what a broker sends reaches anybody; what is sent to it does all the same. */
    void mute(int broker, boolean is) {
        net.callOnLoop(() -> {
            for (int to = 0; to < cut.length; to++) {
                cut[broker][to] = is;
            }
            return null;
        });
    }

    /** Cuts the first brokers off from the others, both ways, or joins them again. */
    void split(int first, boolean is) {
        cutWhere((a, b) -> is && a < first != b < first);
    }
}
