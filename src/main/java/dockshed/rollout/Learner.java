package dockshed.rollout;

import dockshed.rollout.RolloutMessage.Chunk;
import dockshed.rollout.RolloutMessage.Report;
import dockshed.rollout.RolloutMessage.ReportRequest;
import dockshed.rollout.RolloutMessage.Unavailable;
import dockshed.rollout.VoteStorage.StorageException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Learns which configuration is chosen and applies it. Announcements received by the gossip only make it ask the
 * voters; a configuration that a majority of the voters reports is downloaded, checked and applied.
 *
 * <p>Invariants: the configuration in force was chosen by a majority of the voters, has the digest that they voted for,
 * and has a higher version than every one in force here before, in this process or, by {@link VoteStorage}, in an
 * earlier one. A broker that restarts after its storage failed to save may start with an older one, and asks the voters
 * at once.
 */
final class Learner {
    /**
     * Maximum delay of the first request, in microseconds; all brokers are notified of a change at about the same time.
     */
    static final long MAX_FIRST_REQUEST_DELAY_US = 1_000_000;
    /**
     * Initial pause after a round without a result, in microseconds; each pause is between half and all of it, and it
     * is doubled each time.
     */
    static final long INITIAL_RETRY_PAUSE_US = 300_000;

    /** Longest pause while another broker announces a higher version, in microseconds. */
    static final long MAX_RETRY_PAUSE_US = 2_000_000;
    /** Longest pause while no broker announces a higher version, in microseconds. */
    static final long MAX_IDLE_RETRY_PAUSE_US = 20_000_000;

    /** Delay before a configuration that could not be saved is saved again, in microseconds. */
    static final long SAVE_RETRY_INTERVAL_US = 10_000_000;

    private final NodeContext context;
    private final SourceTable sources;
    private final Set<Integer> voterSources = new LinkedHashSet<>(); // voters that reported the target
    private Configuration inForce; // null: none
    private Configuration previous; // in force before, and still served
    private ConfigurationId refused; // the highest one that this program cannot use; null: none
    private VoterRound round;
    private Download download;
    private Configuration unsaved; // in force, but not saved yet
    private long saveRetryAt;
    private long nextRoundAt;
    private long pause = INITIAL_RETRY_PAUSE_US;
    private long newerKnownSince = Long.MIN_VALUE;

    Learner(NodeContext context, SourceTable sources, long now) {
        this.context = context;
        this.sources = sources;
        loadInForce(now);
        // There may have been a change while this broker was down.
        nextRoundAt = now + context.jitter(MAX_FIRST_REQUEST_DELAY_US);
    }

    private void loadInForce(long now) {
        try {
            Optional<Configuration> loaded = context.storage().loadInForce();
            if (loaded.isPresent() && apply(now, loaded.get())) {
                context.notifyListener(
                        now, new RolloutEvent.InForce(loaded.get().id(), 0));
            }
        } catch (StorageException e) {
            context.notifyListener(now, new RolloutEvent.StorageFailed(e.getMessage()));
        }
    }

    /** The configuration in force; null: none. */
    ConfigurationId inForceId() {
        return inForce == null ? null : inForce.id();
    }

    /** The highest configuration that this program could not use; null: none. */
    ConfigurationId refusedId() {
        return refused;
    }

    /** The contents that this broker can serve to others. */
    List<Configuration> contents() {
        List<Configuration> out = new ArrayList<>();
        if (inForce != null) {
            out.add(inForce);
        }
        if (previous != null) {
            out.add(previous);
        }
        return out;
    }

    /** The version in force; 0: none. */
    long version() {
        return inForce == null ? 0 : inForce.version();
    }

    /** The highest version applied or refused here; only higher ones are asked for. */
    private long highestHandled() {
        return Math.max(version(), refused == null ? 0 : refused.version());
    }

    /** What this broker announces to others. */
    Announcement announcement() {
        long prefix = inForce == null ? 0 : inForce.id().digest().prefix();
        long chosen =
                Math.max(highestHandled(), download == null ? 0 : download.id().version());
        return new Announcement(version(), prefix, chosen, highestHandled() > version());
    }

    // ---- Announcements.

    /** Records an announcement, and asks the voters soon if it mentions a higher version. */
    void announcementReceived(long now, int from, Announcement announcement) {
        if (sources.isAvoided(now, from)) {
            return;
        }
        sources.received(now, from, announcement);
        if (inForce != null && announcement.version() == version() && !announcement.matches(inForce.id())) {
            context.counts().conflicts++;
        }
        if (announcement.highest() > highestHandled()) {
            newerVersionKnown(now);
        }
    }

    private void newerVersionKnown(long now) {
        if (newerKnownSince == Long.MIN_VALUE) {
            newerKnownSince = now;
        }
        if (round == null && download == null && nextRoundAt > now + MAX_RETRY_PAUSE_US) {
            nextRoundAt = now + context.random().nextLong(MAX_FIRST_REQUEST_DELAY_US);
        }
    }

    /** Applies this broker's own proposal, which was chosen. */
    void proposalChosen(long now, Configuration configuration) {
        if (configuration.version() > highestHandled()) {
            if (newerKnownSince == Long.MIN_VALUE) {
                newerKnownSince = now;
            }
            adopt(now, configuration);
        }
    }

    // ---- Time.

    /** When {@link #tick} is due. */
    long nextTickAt() {
        if (download != null) {
            return download.nextTickAt();
        }
        return round != null ? round.nextTickAt() : nextRoundAt;
    }

    /** Goes on with saving, the download or the round, whichever is due. */
    void tick(long now) {
        if (unsaved != null && now >= saveRetryAt) {
            save(now, unsaved);
        }
        if (download != null) {
            download.tick(now);
            if (download.isTimedOut(now)) {
                download = null;
                scheduleRetry(now);
            }
        } else if (round != null) {
            tickRound(now);
        } else if (now >= nextRoundAt) {
            startRound(now);
        }
    }

    private void startRound(long now) {
        nextRoundAt = Long.MAX_VALUE;
        context.counts().rounds++;
        round = new VoterRound(
                context.settings(), context.random(), now, context.settings().majority(), this::askVoter);
    }

    private void askVoter(long now, int voter, int number) {
        context.sender().send(now, voter, new ReportRequest(number, highestHandled()));
    }

    private void tickRound(long now) {
        if (!round.isOver(now)) {
            round.tick(now);
            return;
        }
        round = null;
        context.counts().roundsWithoutResult++;
        scheduleRetry(now);
    }

    private void scheduleRetry(long now) {
        boolean announced = !sources.announcersAbove(now, highestHandled()).isEmpty();
        pause = Math.min(pause, announced ? MAX_RETRY_PAUSE_US : MAX_IDLE_RETRY_PAUSE_US);
        nextRoundAt = now + context.jitter(pause);
        pause *= 2;
    }

    // ---- Voters' answers.

    /** Handles a voter's answer; false if this round did not ask for it. */
    boolean reportReceived(long now, int from, Report report) {
        if (round == null || !round.reportReceived(now, from, report)) {
            return false;
        }
        ConfigurationId chosen = round.chosenAbove(highestHandled());
        if (chosen != null) {
            pause = INITIAL_RETRY_PAUSE_US;
            fetch(now, chosen);
        } else if (round.votingVoters() >= context.settings().majority()) {
            noNewerVersionChosen(now);
        }
        return true;
    }

    /** A majority of the voters has answered, and none of the higher versions is chosen yet. */
    private void noNewerVersionChosen(long now) {
        long highest = round.highest();
        for (int announcer : sources.announcersAbove(now, Math.max(highest, highestHandled()))) {
            sources.avoid(now, announcer);
            context.notifyListener(
                    now, new RolloutEvent.SourceAvoided(announcer, "announces a version that no voter knows"));
        }
        if (sources.announcersAbove(now, highestHandled()).isEmpty()) {
            round = null;
            newerKnownSince = Long.MIN_VALUE;
            nextRoundAt = Long.MAX_VALUE;
            pause = INITIAL_RETRY_PAUSE_US;
        }
        // Otherwise wait for the other voters' answers until the round is over.
    }

    private void fetch(long now, ConfigurationId id) {
        voterSources.clear();
        round.reports().forEach((voter, report) -> {
            if (report.known().contains(id) && voter != context.settings().me()) {
                voterSources.add(voter);
            }
        });
        round = null;
        if (newerKnownSince == Long.MIN_VALUE) {
            newerKnownSince = now;
        }
        download = new Download(context, now, id, at -> sourcesOf(at, id), this::digestMismatch);
    }

    /**
     * Brokers that announce the configuration, and voters that reported it: these have the content from the start and
     * are asked least.
     */
    private List<Integer> sourcesOf(long now, ConfigurationId id) {
        Set<Integer> all = new LinkedHashSet<>(sources.sourcesOf(now, id));
        all.addAll(voterSources);
        List<Integer> trusted =
                all.stream().filter(broker -> !sources.isAvoided(now, broker)).toList();
        return trusted.isEmpty() ? List.copyOf(voterSources) : trusted;
    }

    private void digestMismatch(long now, int source) {
        sources.avoid(now, source);
        context.notifyListener(now, new RolloutEvent.SourceAvoided(source, "served a content with another digest"));
    }

    // ---- The content.

    /** Supplies a content that this broker has as a voter; true if it was the one being downloaded. */
    boolean offer(long now, Configuration configuration) {
        if (download == null || !download.id().equals(configuration.id())) {
            return false;
        }
        adopt(now, configuration);
        return true;
    }

    /** Handles a chunk; ignored unless it belongs to the download in progress. */
    void chunkReceived(long now, int from, Chunk chunk) {
        Configuration complete = download == null ? null : download.chunkReceived(now, from, chunk);
        if (complete != null) {
            adopt(now, complete);
        }
    }

    /** Handles a refusal of a request for chunks; ignored unless it belongs to the download in progress. */
    void unavailableReceived(long now, int from, Unavailable message) {
        if (download != null) {
            download.unavailableReceived(now, from, message);
        }
    }

    private void adopt(long now, Configuration configuration) {
        download = null;
        round = null;
        long after = now - newerKnownSince;
        newerKnownSince = Long.MIN_VALUE;
        if (apply(now, configuration)) {
            save(now, configuration);
            context.notifyListener(now, new RolloutEvent.InForce(configuration.id(), after));
        }
        boolean more = !sources.announcersAbove(now, highestHandled()).isEmpty();
        nextRoundAt = Long.MAX_VALUE;
        if (more) {
            newerVersionKnown(now);
        }
    }

    /**
     * Applies the configuration if this program can use it; otherwise refuses it, and the previous one stays in force.
     */
    private boolean apply(long now, Configuration configuration) {
        if (configuration.version() <= version()) {
            return false;
        }
        Optional<String> reason = context.applier().validate(configuration);
        if (reason.isPresent()) {
            refused = configuration.id();
            context.notifyListener(now, new RolloutEvent.Refused(configuration.id(), reason.get()));
            return false;
        }
        context.applier().apply(configuration);
        previous = inForce;
        inForce = configuration;
        return true;
    }

    /**
     * Saves the configuration in force. A failure, such as a full disk, does not delay the change: saving is tried
     * again later.
     */
    private void save(long now, Configuration configuration) {
        unsaved = configuration;
        saveRetryAt = now + SAVE_RETRY_INTERVAL_US;
        try {
            context.storage().saveInForce(configuration);
            unsaved = null;
        } catch (StorageException e) {
            context.notifyListener(now, new RolloutEvent.StorageFailed(e.getMessage()));
        }
    }
}
