package dockshed.rollout;

import dockshed.rollout.RolloutMessage.Chunk;
import dockshed.rollout.RolloutMessage.ChunkRequest;
import dockshed.rollout.RolloutMessage.Unavailable;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Fetches one content in chunks, a window at a time from one source at a time. A source that is silent or busy gives way to
 * another, which goes on where the first ended. The whole counts only with the right digest; if it is wrong and came from
 * several sources, it is fetched again from one alone, so that it is known who is to blame.
 */
final class Download {
    /** Chunks that are asked for at once. */
    static final int WINDOW = 16;
    /** A source that sends nothing for so long gives way to another. */
    static final long PATIENCE = 200_000;
    /** Chunks of a window come close together: after so long without one the rest was lost. */
    static final long GAP = 50_000;
    /** And so does one that has not sent all after so long, so that none holds us up with crumbs. */
    static final long SOURCE_PATIENCE = 4_000_000;
    /** After a busy or missing source, another is asked after at most so long; the pause doubles up to the second one. */
    static final long PAUSE = 120_000;

    static final long LONGEST_PAUSE = 500_000;
    /** Without a chunk for so long it gives way to another download. */
    static final long STALLED = 500_000;
    /** A download without a whole content after so long is given up. */
    static final long LONGEST = 12_000_000;

    /** Who has the content now; those that must not be asked are left out. */
    interface Sources {
        List<Integer> now(long now);
    }

    /** Told of a source whose content had the wrong digest. */
    interface Blame {
        void bad(long now, int source);
    }

    private final NodeContext context;
    private final ConfigurationId id;
    private final Sources sources;
    private final Blame blame;
    private final long began;
    private final Set<Integer> contributors = new HashSet<>();
    private byte[][] chunks; // null: the length is not known yet
    private int length;
    private boolean alone; // take all chunks from one source
    private int source = -1;
    private int lastSource = -1;
    private int request;
    private int asked;
    private int arrived;
    private long sourceSince;
    private long actAt;
    private long progressAt;
    private long pause = PAUSE;

    Download(NodeContext context, long now, ConfigurationId id, Sources sources, Blame blame) {
        this.context = context;
        this.id = id;
        this.sources = sources;
        this.blame = blame;
        began = now;
        progressAt = now;
        actAt = now;
        tick(now);
    }

    ConfigurationId id() {
        return id;
    }

    boolean givenUp(long now) {
        return now - began >= LONGEST;
    }

    /** Whether nothing came for a while: what else is to be fetched need not wait for it. */
    boolean stalled(long now) {
        return now - progressAt >= STALLED;
    }

    long next() {
        return Math.min(actAt, began + LONGEST);
    }

    void tick(long now) {
        if (now < actAt || givenUp(now)) {
            return;
        }
        boolean silent = asked > 0 && arrived == 0;
        if (source < 0 || silent || now - sourceSince >= SOURCE_PATIENCE) {
            chooseSource(now);
        }
        if (source >= 0) {
            ask(now);
        } else {
            actAt = now + context.jitter(PATIENCE);
        }
    }

    private void chooseSource(long now) {
        List<Integer> all = sources.now(now);
        List<Integer> others = all.stream().filter(s -> s != lastSource).toList();
        List<Integer> candidates = others.isEmpty() ? all : others;
        source = candidates.isEmpty() ? -1 : candidates.get(context.random().nextInt(candidates.size()));
        lastSource = source;
        sourceSince = now;
        if (alone) {
            forget();
        }
    }

    private void forget() {
        chunks = null;
        contributors.clear();
    }

    private void ask(long now) {
        BitSet missing = missing();
        context.counts().chunksAgain += Math.max(0, asked - arrived);
        request = context.random().nextInt();
        asked = Math.min(WINDOW, missing.cardinality());
        arrived = 0;
        actAt = now + PATIENCE / 2 + context.jitter(PATIENCE);
        ChunkRequest wanted =
                new ChunkRequest(request, id.version(), id.digest().prefix(), missing);
        context.sender().send(now, source, wanted);
    }

    private BitSet missing() {
        BitSet missing = new BitSet(RolloutCodec.MOST_CHUNKS);
        for (int i = 0; i < (chunks == null ? RolloutCodec.MOST_CHUNKS : chunks.length); i++) {
            missing.set(i, chunks == null || chunks[i] == null);
        }
        return missing;
    }

    /** Takes a message of a source; returns the whole content once it is there, and null until then. */
    Configuration chunk(long now, int from, Chunk chunk) {
        if (from != source || chunk.request() != request || chunk.version() != id.version()) {
            return null;
        }
        if (chunks != null && length != chunk.length()) {
            wrong(now);
            return null;
        }
        if (chunks == null) {
            length = chunk.length();
            chunks = new byte[RolloutCodec.chunks(length)][];
        }
        if (chunks[chunk.index()] != null) {
            return null;
        }
        chunks[chunk.index()] = chunk.bytes();
        contributors.add(from);
        arrived++;
        progressAt = now;
        pause = PAUSE;
        if (missing().isEmpty()) {
            return whole(now);
        }
        if (arrived == asked) {
            ask(now);
        } else {
            actAt = now + GAP;
        }
        return null;
    }

    void unavailable(long now, int from, Unavailable message) {
        if (from == source && message.request() == request) {
            source = -1;
            asked = 0;
            actAt = now + context.jitter(pause);
            pause = Math.min(LONGEST_PAUSE, 2 * pause);
        }
    }

    private Configuration whole(long now) {
        byte[] content = new byte[length];
        for (int i = 0; i < chunks.length; i++) {
            System.arraycopy(chunks[i], 0, content, i * RolloutCodec.CHUNK_BYTES, chunks[i].length);
        }
        Configuration configuration = new Configuration(id.version(), content);
        if (configuration.id().equals(id)) {
            return configuration;
        }
        wrong(now);
        return null;
    }

    /** The content is not the one that was chosen: all that came is thrown away. */
    private void wrong(long now) {
        context.counts().badDigests++;
        if (contributors.size() == 1 && contributors.contains(source)) {
            blame.bad(now, source);
        }
        alone = true;
        forget();
        source = -1;
        asked = 0;
        actAt = now;
    }
}
