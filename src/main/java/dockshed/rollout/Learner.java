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
 * Learns which configuration is chosen and puts it in force. What it hears by the gossip only makes it ask; what a
 * majority of the voters answers it fetches, checks and applies.
 *
 * <p>What always holds: the configuration in force was chosen by a majority of the voters, has the digest that they voted
 * for, and is of a higher version than every one in force here before, in this life or by {@link VoteStorage}. A broker that
 * restarts while its storage takes nothing may begin with an older one, and asks the voters at once.
 */
final class Learner {
    /** A first question waits for up to so long, as all brokers hear of a change at about the same time. */
    static final long MAX_FIRST_REQUEST_DELAY_US = 1_000_000;
    /** Between two rounds without a result: from the first to at most the second; the third where nobody announces more. */
    static final long MIN_RETRY_PAUSE_US = 300_000;

    static final long MAX_RETRY_PAUSE_US = 2_000_000;
    static final long MAX_IDLE_RETRY_PAUSE_US = 20_000_000;

    /** What could not be saved is tried again after so long. */
    static final long SAVE_RETRY_INTERVAL_US = 10_000_000;

    private final NodeContext context;
    private final SourceTable sources;
    private final Set<Integer> voterSources = new LinkedHashSet<>(); // voters that reported the target
    private Configuration inForce; // null: none
    private Configuration previous; // the one before it, still served
    private ConfigurationId refused; // the highest that this program cannot use; null: none
    private VoterRound round;
    private Download download;
    private Configuration unsaved; // in force, and the storage did not take it yet
    private long saveRetryAt;
    private long nextRoundAt;
    private long pause = MIN_RETRY_PAUSE_US;
    private long newerKnownSince = Long.MIN_VALUE;

    Learner(NodeContext context, SourceTable sources, long now) {
        this.context = context;
        this.sources = sources;
        loadInForce(now);
        nextRoundAt = now + context.jitter(MAX_FIRST_REQUEST_DELAY_US); // whatever happened while this broker was away
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

    ConfigurationId inForceId() {
        return inForce == null ? null : inForce.id();
    }

    ConfigurationId refusedId() {
        return refused;
    }

    /** The contents that it can serve to others. */
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

    long version() {
        return inForce == null ? 0 : inForce.version();
    }

    /** The version above which something is to be learnt. */
    private long highestHandled() {
        return Math.max(version(), refused == null ? 0 : refused.version());
    }

    Announcement announcement() {
        long prefix = inForce == null ? 0 : inForce.id().digest().prefix();
        long chosen =
                Math.max(highestHandled(), download == null ? 0 : download.id().version());
        return new Announcement(version(), prefix, chosen, highestHandled() > version());
    }

    // ---- What is heard.

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

    /** This broker's own proposal was chosen. */
    void proposalChosen(long now, Configuration configuration) {
        if (configuration.version() > highestHandled()) {
            if (newerKnownSince == Long.MIN_VALUE) {
                newerKnownSince = now;
            }
            adopt(now, configuration);
        }
    }

    // ---- Time.

    long nextTickAt() {
        if (download != null) {
            return download.nextTickAt();
        }
        return round != null ? round.nextTickAt() : nextRoundAt;
    }

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

    // ---- What the voters answer.

    /** Takes a voter's answer; false: it was not asked for here. */
    boolean reportReceived(long now, int from, Report report) {
        if (round == null || !round.reportReceived(now, from, report)) {
            return false;
        }
        ConfigurationId chosen = round.chosenAbove(highestHandled());
        if (chosen != null) {
            pause = MIN_RETRY_PAUSE_US;
            fetch(now, chosen);
        } else if (round.votingVoters() >= context.settings().majority()) {
            noNewerVersionChosen(now);
        }
        return true;
    }

    /** A majority of the voters answered, and nothing newer is chosen yet. */
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
            pause = MIN_RETRY_PAUSE_US;
        }
        // Otherwise the other voters' answers are waited for until the round is over.
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
        download = new Download(context, now, id, t -> sourcesOf(t, id), this::digestMismatch);
    }

    /** Brokers that announce it, and voters that reported it: these have it from the first, and are asked least. */
    private List<Integer> sourcesOf(long now, ConfigurationId id) {
        Set<Integer> all = new LinkedHashSet<>(sources.sourcesOf(now, id));
        all.addAll(voterSources);
        List<Integer> trusted =
                all.stream().filter(b -> !sources.isAvoided(now, b)).toList();
        return trusted.isEmpty() ? List.copyOf(voterSources) : trusted;
    }

    private void digestMismatch(long now, int source) {
        sources.avoid(now, source);
        context.notifyListener(now, new RolloutEvent.SourceAvoided(source, "served a content with another digest"));
    }

    // ---- The content.

    /** A content that this broker has already, as a voter; true: it was the one being fetched. */
    boolean offer(long now, Configuration configuration) {
        if (download == null || !download.id().equals(configuration.id())) {
            return false;
        }
        adopt(now, configuration);
        return true;
    }

    void chunkReceived(long now, int from, Chunk chunk) {
        Configuration whole = download == null ? null : download.chunkReceived(now, from, chunk);
        if (whole != null) {
            adopt(now, whole);
        }
    }

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

    /** Puts it in force if this program can use it; else it is refused, and what was in force stays. */
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

    /** A change does not wait for a full disk: it is in force, and saved as soon as that can be done. */
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
