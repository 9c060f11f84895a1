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
 * Serves chunks of the contents that this broker has, within an allowance in all and one for each that asks. Long contents
 * go to {@link #MAX_SLOTS} brokers at a time and the others are told that it is busy: whoever has the whole soon serves it too,
 * while parts at many help nobody.
 */
final class ChunkServer {
    /** Bytes of chunks a second in all, and at once. */
    static final double BYTES_PER_SECOND = 1_200;

    static final double BURST_BYTES = 16_000;
    /** The same to one broker: one longest content with its losses, then little. */
    static final double BYTES_PER_SECOND_PER_BROKER = 1_000;

    static final double BURST_BYTES_PER_BROKER = 3.0 * Configuration.MAX_BYTES;
    /** Brokers that are served long contents at a time; a slot is free again after a pause of the asker, and in any case. */
    static final int MAX_SLOTS = 2;

    static final long MAX_SLOT_IDLE_US = 700_000;
    static final long MAX_SLOT_TIME_US = 4_000_000;
    /** Brokers whose allowance is remembered. */
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
        for (Configuration c : contents.get()) {
            if (c.version() == version && c.id().digest().prefix() == digestPrefix) {
                return c;
            }
        }
        return null;
    }

    /** Chunks sent. */
    private int send(long now, int to, ChunkRequest request, Configuration content) {
        int chunks = RolloutCodec.chunkCount(content.length());
        BitSet wanted = request.missing().get(0, chunks);
        if (!acquireSlot(now, to, wanted.cardinality() <= Download.MAX_CHUNKS_PER_REQUEST)) {
            return 0;
        }
        TokenBucket own = brokerBuckets.computeIfAbsent(
                to, broker -> new TokenBucket(now, BYTES_PER_SECOND_PER_BROKER, BURST_BYTES_PER_BROKER));
        int sent = 0;
        for (int i = wanted.nextSetBit(0);
                i >= 0 && sent < Download.MAX_CHUNKS_PER_REQUEST;
                i = wanted.nextSetBit(i + 1)) {
            if (!totalBucket.hasTokens(now, RolloutCodec.CHUNK_BYTES) || !own.tryTake(now, RolloutCodec.CHUNK_BYTES)) {
                break;
            }
            totalBucket.tryTake(now, RolloutCodec.CHUNK_BYTES);
            byte[] bytes = content.chunk(i, RolloutCodec.CHUNK_BYTES);
            context.sender().send(now, to, new Chunk(request.request(), content.version(), content.length(), i, bytes));
            sent++;
        }
        if (sent == 0) {
            slots.remove(to);
        }
        return sent;
    }

    /** Whether a broker may be served now; {@code last}: what it asks for are the last chunks, for which no slot is needed. */
    private boolean acquireSlot(long now, int to, boolean last) {
        slots.values().removeIf(s -> now - s.usedAt() > MAX_SLOT_IDLE_US || now - s.since() > MAX_SLOT_TIME_US);
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
