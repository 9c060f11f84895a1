package dockshed.rollout;

import dockshed.rollout.RolloutMessage.Chunk;
import dockshed.rollout.RolloutMessage.ChunkRequest;
import dockshed.rollout.RolloutMessage.Unavailable;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Serves chunks of the contents that this broker has, within a total rate and a rate for each requesting broker. Long
 * contents go to {@link #MAX_SLOTS} brokers at a time, and others are answered that this broker is busy: a broker that
 * has received the complete content soon serves it too, whereas parts at many brokers help nobody.
 */
final class ChunkServer {
    /** Chunk bytes sent per second to all brokers together. */
    static final double BYTES_PER_SECOND = 1_200;

    /** Chunk bytes that may be sent at once to all brokers together. */
    static final double BURST_BYTES = 16_000;
    /** Chunk bytes sent per second to one broker. */
    static final double BYTES_PER_SECOND_PER_BROKER = 1_000;

    /**
     * Chunk bytes that may be sent at once to one broker: one content of the maximum length and its retransmissions.
     */
    static final double BURST_BYTES_PER_BROKER = 3.0 * Configuration.MAX_BYTES;
    /** Brokers that are served long contents at the same time. */
    static final int MAX_SLOTS = 2;

    /** Microseconds without a request after which a broker loses its slot. */
    static final long MAX_SLOT_IDLE_US = 700_000;
    /** Microseconds after which a broker loses its slot in any case. */
    static final long MAX_SLOT_TIME_US = 4_000_000;
    /** Maximum number of brokers whose rates are tracked; the one tracked for the longest time is evicted first. */
    static final int MAX_TRACKED_BROKERS = 256;

    private record Slot(long since, long usedAt) {}

    private final NodeContext context;
    private final Supplier<List<Configuration>> contents;
    private final TokenBucket totalBucket;
    private final Map<Integer, Slot> slots = new HashMap<>();
    private final BoundedMap<Integer, TokenBucket> brokerBuckets = new BoundedMap<>(MAX_TRACKED_BROKERS);

    ChunkServer(NodeContext context, long now, Supplier<List<Configuration>> contents) {
        this.context = context;
        this.contents = contents;
        totalBucket = new TokenBucket(now, BYTES_PER_SECOND, BURST_BYTES);
    }

    /** Answers a request with chunks, or with {@link Unavailable}. */
    void serve(long now, int to, ChunkRequest request) {
        Configuration content = find(request.version(), request.digestPrefix());
        if (content == null) {
            context.sender().send(now, to, new Unavailable(request.request(), request.version(), false));
            return;
        }
        if (send(now, to, request, content) == 0) {
            context.counts().unserved++;
            context.sender().send(now, to, new Unavailable(request.request(), request.version(), true));
        }
    }

    private Configuration find(long version, long digestPrefix) {
        for (Configuration content : contents.get()) {
            if (content.version() == version && content.id().digest().prefix() == digestPrefix) {
                return content;
            }
        }
        return null;
    }

    /** Sends what the rates allow of the missing chunks; returns how many chunks were sent. */
    private int send(long now, int to, ChunkRequest request, Configuration content) {
        int chunks = RolloutCodec.chunkCount(content.length());
        BitSet wanted = request.missing().get(0, chunks);
        if (!acquireSlot(now, to, wanted.cardinality() <= Download.MAX_CHUNKS_PER_REQUEST)) {
            return 0;
        }
        TokenBucket own = brokerBuckets.computeIfAbsent(
                to, broker -> new TokenBucket(now, BYTES_PER_SECOND_PER_BROKER, BURST_BYTES_PER_BROKER));
        int sent = 0;
        for (int chunk = wanted.nextSetBit(0);
                chunk >= 0 && sent < Download.MAX_CHUNKS_PER_REQUEST;
                chunk = wanted.nextSetBit(chunk + 1)) {
            if (!totalBucket.hasTokens(now, RolloutCodec.CHUNK_BYTES) || !own.tryTake(now, RolloutCodec.CHUNK_BYTES)) {
                break;
            }
            totalBucket.tryTake(now, RolloutCodec.CHUNK_BYTES);
            byte[] bytes = content.chunk(chunk, RolloutCodec.CHUNK_BYTES);
            context.sender()
                    .send(now, to, new Chunk(request.request(), content.version(), content.length(), chunk, bytes));
            sent++;
        }
        if (sent == 0) {
            slots.remove(to);
        }
        return sent;
    }

    /** Whether a broker may be served now; {@code last}: it asks for the last chunks only, which need no slot. */
    private boolean acquireSlot(long now, int to, boolean last) {
        slots.values()
                .removeIf(slot -> now - slot.usedAt() > MAX_SLOT_IDLE_US || now - slot.since() > MAX_SLOT_TIME_US);
        if (last) {
            slots.remove(to);
            return true;
        }
        Slot held = slots.get(to);
        if (held == null && slots.size() >= MAX_SLOTS) {
            return false;
        }
        slots.put(to, new Slot(held == null ? now : held.since(), now));
        return true;
    }
}
