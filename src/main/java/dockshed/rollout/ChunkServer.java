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
 * go to {@link #SLOTS} brokers at a time and the others are told that it is busy: whoever has the whole soon serves it too,
 * while parts at many help nobody.
 */
final class ChunkServer {
    /** Bytes of chunks a second in all, and at once. */
    static final double BYTES = 1_200;

    static final double BURST = 16_000;
    /** The same to one broker: one longest content with its losses, then little. */
    static final double BYTES_EACH = 1_000;

    static final double BURST_EACH = 3.0 * Configuration.MOST_BYTES;
    /** Brokers that are served long contents at a time; a slot is free again after a pause of the asker, and in any case. */
    static final int SLOTS = 2;

    static final long SLOT_IDLE = 700_000;
    static final long SLOT_LONGEST = 4_000_000;
    /** Brokers whose allowance is remembered. */
    static final int MOST_ASKERS = 256;

    private record Slot(long since, long usedAt) {}

    private final NodeContext context;
    private final Supplier<List<Configuration>> contents;
    private final Allowance all;
    private final Map<Integer, Slot> slots = new HashMap<>();
    private final BoundedMap<Integer, Allowance> each = new BoundedMap<>(MOST_ASKERS);

    ChunkServer(NodeContext context, long now, Supplier<List<Configuration>> contents) {
        this.context = context;
        this.contents = contents;
        all = new Allowance(now, BYTES, BURST);
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
        int chunks = RolloutCodec.chunks(content.length());
        BitSet wanted = request.missing().get(0, chunks);
        if (!slot(now, to, wanted.cardinality() <= Download.WINDOW)) {
            return 0;
        }
        Allowance own = each.computeIfAbsent(to, broker -> new Allowance(now, BYTES_EACH, BURST_EACH));
        int sent = 0;
        for (int i = wanted.nextSetBit(0); i >= 0 && sent < Download.WINDOW; i = wanted.nextSetBit(i + 1)) {
            if (!all.has(now, RolloutCodec.CHUNK_BYTES) || !own.take(now, RolloutCodec.CHUNK_BYTES)) {
                break;
            }
            all.take(now, RolloutCodec.CHUNK_BYTES);
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
    private boolean slot(long now, int to, boolean last) {
        slots.values().removeIf(s -> now - s.usedAt() > SLOT_IDLE || now - s.since() > SLOT_LONGEST);
        if (last) {
            slots.remove(to);
            return true;
        }
        Slot held = slots.get(to);
        if (held == null && slots.size() >= SLOTS) {
            return false;
        }
        slots.put(to, new Slot(held == null ? now : held.since(), now));
        return true;
    }
}
