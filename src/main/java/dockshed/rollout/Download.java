package dockshed.rollout;

import dockshed.rollout.RolloutMessage.Chunk;
import dockshed.rollout.RolloutMessage.ChunkRequest;
import dockshed.rollout.RolloutMessage.Unavailable;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Downloads one content in chunks, with one request at a time to one source at a time. A source that is silent or busy
 * is replaced by another, which continues where the first ended. The content counts only with the right digest; if the
 * digest is wrong and the chunks came from several sources, the content is downloaded again from a single one, so that
 * it is known which source is at fault.
 */
final class Download {
    /** Chunks that are sent for one request. */
    static final int MAX_CHUNKS_PER_REQUEST = 16;
    /** A source that sends nothing for about this long, in microseconds, is replaced. */
    static final long SOURCE_TIMEOUT_US = 200_000;
    /** Chunks of a request arrive close together: after this many microseconds without one the rest counts as lost. */
    static final long CHUNK_GAP_US = 50_000;
    /**
     * A source that has not sent everything after this many microseconds is replaced, so that none can delay the
     * download by sending little.
     */
    static final long MAX_SOURCE_TIME_US = 4_000_000;
    /**
     * Initial pause before another source is asked after one was busy or did not have the content, in microseconds;
     * each pause is between half and all of it, and it is doubled each time.
     */
    static final long INITIAL_PAUSE_US = 120_000;

    /** Upper limit of the pause, in microseconds. */
    static final long MAX_PAUSE_US = 500_000;
    /** After this many microseconds without a chunk the download may be replaced by another one. */
    static final long STALL_THRESHOLD_US = 500_000;
    /** A download that is not complete after this many microseconds is cancelled. */
    static final long MAX_DURATION_US = 12_000_000;

    /** Lists the brokers that have the content now and are not to be avoided. */
    interface Sources {
        List<Integer> current(long now);
    }

    /** Notified of a source that served a content with the wrong digest. */
    interface DigestMismatchListener {
        void digestMismatch(long now, int source);
    }

    private final NodeContext context;
    private final ConfigurationId id;
    private final Sources sources;
    private final DigestMismatchListener mismatchListener;
    private final long startedAt;
    private final Set<Integer> contributors = new HashSet<>();
    private byte[][] chunks; // null until the length is known
    private int length;
    private boolean singleSource; // accept chunks of one source only
    private int source = -1;
    private int lastSource = -1;
    private int request;
    private int requestedChunks;
    private int receivedChunks;
    private long sourceSince;
    private long nextActionAt;
    private long progressAt;
    private long pause = INITIAL_PAUSE_US;

    /** Starts the download and sends the first request. */
    Download(
            NodeContext context,
            long now,
            ConfigurationId id,
            Sources sources,
            DigestMismatchListener mismatchListener) {
        this.context = context;
        this.id = id;
        this.sources = sources;
        this.mismatchListener = mismatchListener;
        startedAt = now;
        progressAt = now;
        nextActionAt = now;
        tick(now);
    }

    ConfigurationId id() {
        return id;
    }

    /** Whether the download has to be cancelled. */
    boolean isTimedOut(long now) {
        return now - startedAt >= MAX_DURATION_US;
    }

    /** Whether no chunk has arrived for a while: other downloads need not wait for this one. */
    boolean isStalled(long now) {
        return now - progressAt >= STALL_THRESHOLD_US;
    }

    /** When {@link #tick} is due. */
    long nextTickAt() {
        return Math.min(nextActionAt, startedAt + MAX_DURATION_US);
    }

    /** Asks again or replaces the source, if that is due. */
    void tick(long now) {
        if (now < nextActionAt || isTimedOut(now)) {
            return;
        }
        boolean silent = requestedChunks > 0 && receivedChunks == 0;
        if (source < 0 || silent || now - sourceSince >= MAX_SOURCE_TIME_US) {
            chooseSource(now);
        }
        if (source >= 0) {
            requestChunks(now);
        } else {
            nextActionAt = now + context.jitter(SOURCE_TIMEOUT_US);
        }
    }

    private void chooseSource(long now) {
        List<Integer> all = sources.current(now);
        List<Integer> others =
                all.stream().filter(candidate -> candidate != lastSource).toList();
        List<Integer> candidates = others.isEmpty() ? all : others;
        source = candidates.isEmpty() ? -1 : candidates.get(context.random().nextInt(candidates.size()));
        lastSource = source;
        sourceSince = now;
        if (singleSource) {
            discardChunks();
        }
    }

    private void discardChunks() {
        chunks = null;
        contributors.clear();
    }

    private void requestChunks(long now) {
        BitSet missing = missing();
        context.counts().chunksRequestedAgain += Math.max(0, requestedChunks - receivedChunks);
        request = context.random().nextInt();
        requestedChunks = Math.min(MAX_CHUNKS_PER_REQUEST, missing.cardinality());
        receivedChunks = 0;
        nextActionAt = now + SOURCE_TIMEOUT_US / 2 + context.jitter(SOURCE_TIMEOUT_US);
        ChunkRequest wanted =
                new ChunkRequest(request, id.version(), id.digest().prefix(), missing);
        context.sender().send(now, source, wanted);
    }

    private BitSet missing() {
        BitSet missing = new BitSet(RolloutCodec.MAX_CHUNKS);
        for (int i = 0; i < (chunks == null ? RolloutCodec.MAX_CHUNKS : chunks.length); i++) {
            missing.set(i, chunks == null || chunks[i] == null);
        }
        return missing;
    }

    /** Handles a chunk; returns the complete configuration once it is there, and null until then. */
    Configuration chunkReceived(long now, int from, Chunk chunk) {
        if (from != source || chunk.request() != request || chunk.version() != id.version()) {
            return null;
        }
        if (chunks != null && length != chunk.length()) {
            discardMismatch(now);
            return null;
        }
        if (chunks == null) {
            length = chunk.length();
            chunks = new byte[RolloutCodec.chunkCount(length)][];
        }
        if (chunks[chunk.index()] != null) {
            return null;
        }
        chunks[chunk.index()] = chunk.bytes();
        contributors.add(from);
        receivedChunks++;
        progressAt = now;
        pause = INITIAL_PAUSE_US;
        if (missing().isEmpty()) {
            return assemble(now);
        }
        if (receivedChunks == requestedChunks) {
            requestChunks(now);
        } else {
            nextActionAt = now + CHUNK_GAP_US;
        }
        return null;
    }

    /** Handles a refusal of the current request: another source is asked after a pause. */
    void unavailableReceived(long now, int from, Unavailable message) {
        if (from == source && message.request() == request) {
            source = -1;
            requestedChunks = 0;
            nextActionAt = now + context.jitter(pause);
            pause = Math.min(MAX_PAUSE_US, 2 * pause);
        }
    }

    private Configuration assemble(long now) {
        byte[] content = new byte[length];
        for (int i = 0; i < chunks.length; i++) {
            System.arraycopy(chunks[i], 0, content, i * RolloutCodec.CHUNK_BYTES, chunks[i].length);
        }
        Configuration configuration = new Configuration(id.version(), content);
        if (configuration.id().equals(id)) {
            return configuration;
        }
        discardMismatch(now);
        return null;
    }

    /** The content is not the chosen one: discards all chunks. */
    private void discardMismatch(long now) {
        context.counts().badDigests++;
        if (contributors.size() == 1 && contributors.contains(source)) {
            mismatchListener.digestMismatch(now, source);
        }
        singleSource = true;
        discardChunks();
        source = -1;
        requestedChunks = 0;
        nextActionAt = now;
    }
}
