package dockshed.rollout.host;

import dockshed.config.JsonFields;
import dockshed.config.RolloutDocument;
import dockshed.fleet.GossipExtension;
import dockshed.rollout.Configuration;
import dockshed.rollout.ConfigurationApplier;
import dockshed.rollout.ConfigurationId;
import dockshed.rollout.Outbox;
import dockshed.rollout.ProposalOutcome;
import dockshed.rollout.RolloutCounts;
import dockshed.rollout.RolloutEvent;
import dockshed.rollout.RolloutNode;
import dockshed.rollout.RolloutSettings;
import dockshed.rollout.RolloutStatus;
import dockshed.rollout.VoteStorage;
import java.nio.file.Path;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a {@link RolloutNode} as an extension of the gossip, on the gossip's thread, and logs its events. A proposal may
 * come from any thread.
 */
public final class RolloutHost implements GossipExtension {
    /** Time between two log lines of figures, in microseconds. */
    private static final long FIGURES_LOG_PERIOD_US = 10_000_000;

    private static final Logger LOG = LoggerFactory.getLogger(RolloutHost.class);

    /** A document that has been read and waits for the gossip's thread. */
    private record PendingProposal(Path file, RolloutDocument document, Configuration configuration) {}

    private final RolloutNode node;
    private final Consumer<RolloutDocument> applier;
    private final AtomicReference<PendingProposal> pending = new AtomicReference<>();
    private PendingProposal current; // the latest proposal started
    private long nextFiguresAt;

    /**
     * Creates the host and starts the node from what the storage holds.
     *
     * @param now     by the clock that the gossip uses, in microseconds
     * @param seed    of the node's random numbers
     * @param outbox  sends a body in the gossip's datagrams
     * @param applier applies a document; called on the gossip's thread
     */
    public RolloutHost(
            RolloutSettings settings,
            long now,
            long seed,
            Outbox outbox,
            VoteStorage storage,
            Consumer<RolloutDocument> applier) {
        this.applier = applier;
        node = new RolloutNode(
                settings, now, new SplittableRandom(seed), outbox, storage, new DocumentApplier(), this::logEvent);
        nextFiguresAt = now + FIGURES_LOG_PERIOD_US;
    }

    /** Reads a document and proposes it, from any thread. An unusable document is logged and changes nothing. */
    public void propose(Path file) {
        try {
            byte[] content = RolloutDocument.load(file, Configuration.MAX_BYTES);
            RolloutDocument document = RolloutDocument.read(file.toString(), content);
            PendingProposal next = new PendingProposal(file, document, new Configuration(document.version(), content));
            if (!pending.compareAndSet(null, next)) {
                logRejected(file + ": another proposal is waiting to be started");
            }
        } catch (RuntimeException e) { // whatever is wrong with the file, the configuration in force stays
            logRejected(e.getMessage());
        }
    }

    private static void logRejected(String why) {
        LOG.error("configuration rejected, the previous one stays active: why={}", why);
    }

    /** Validates documents and applies them. */
    private final class DocumentApplier implements ConfigurationApplier {
        private RolloutDocument read(Configuration configuration) {
            return RolloutDocument.read("configuration-" + configuration.version(), configuration.content());
        }

        @Override
        public Optional<String> validate(Configuration configuration) {
            try {
                RolloutDocument document = read(configuration);
                return document.version() == configuration.version()
                        ? Optional.empty()
                        : Optional.of("configuration-" + configuration.version() + ":" + document.versionLine()
                                + ": version: expected " + configuration.version() + ", got " + document.version());
            } catch (JsonFields.InvalidInputException e) {
                return Optional.of(e.getMessage());
            }
        }

        @Override
        public void apply(Configuration configuration) {
            applier.accept(read(configuration));
        }
    }

    // ---- GossipExtension.

    @Override
    public void receive(long now, int from, byte[] body) {
        node.receive(now, from, body);
    }

    @Override
    public void receiveAnnouncement(long now, int from, byte[] announcement) {
        node.receiveAnnouncement(now, from, announcement);
    }

    @Override
    public void tick(long now) {
        PendingProposal next = pending.getAndSet(null);
        if (next != null) {
            startProposal(now, next);
        }
        node.tick(now);
        if (now >= nextFiguresAt) {
            nextFiguresAt = now + FIGURES_LOG_PERIOD_US;
            logFigures(now);
        }
    }

    @Override
    public long nextTickAt(long now) {
        return node.nextTickAt(now);
    }

    @Override
    public byte[] announcement() {
        return node.announcement();
    }

    // ---- Proposals.

    private void startProposal(long now, PendingProposal next) {
        ConfigurationId id = next.configuration().id();
        if (id.equals(node.status(now).inForce())) {
            LOG.info("configuration unchanged: version={} digest={}", id.version(), id.digest());
            return;
        }
        current = next;
        LOG.info(
                "configuration proposed: version={} digest={} bytes={}",
                id.version(),
                id.digest(),
                next.configuration().length());
        node.propose(now, next.configuration());
    }

    private void proposalEnded(ConfigurationId id, ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Chosen) {
            LOG.info("configuration chosen: version={} digest={}", id.version(), id.digest());
        } else {
            logRejected(
                    current.file() + ":" + current.document().versionLine() + ": version: " + reasonFor(id, outcome));
        }
    }

    private static String reasonFor(ConfigurationId id, ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.NotNextVersion notNext) {
            return "expected " + notNext.expectedVersion() + ", the next, got " + id.version();
        }
        if (outcome instanceof ProposalOutcome.OtherContentChosen other) {
            return "expected a later version, as " + id.version() + " was chosen with digest "
                    + other.chosen().digest() + ", got digest " + id.digest();
        }
        if (outcome instanceof ProposalOutcome.SplitVote split) {
            return "expected " + split.nextVersion() + ", as the voters are split over " + id.version() + ", got "
                    + id.version();
        }
        if (outcome instanceof ProposalOutcome.Invalid) {
            return "expected a document that a majority of the voters can use, got one that they refuse";
        }
        if (outcome instanceof ProposalOutcome.Undecided undecided) {
            return "expected " + undecided.needed() + " votes, got " + undecided.votes()
                    + " in time: propose it again unchanged";
        }
        return outcome instanceof ProposalOutcome.Rejected rejected ? rejected.reason() : outcome.toString();
    }

    // ---- Logging.

    private void logEvent(long now, RolloutEvent event) {
        if (event instanceof RolloutEvent.InForce e) {
            LOG.atInfo()
                    .setMessage("configuration in force")
                    .addKeyValue("version", e.id().version())
                    .addKeyValue("digest", e.id().digest())
                    .addKeyValue("after_ms", e.afterUs() / 1000)
                    .log();
        } else if (event instanceof RolloutEvent.Refused e) {
            LOG.error(
                    "configuration not usable by this program, the previous one stays active:"
                            + " version={} digest={} why={}",
                    e.id().version(),
                    e.id().digest(),
                    e.reason());
        } else if (event instanceof RolloutEvent.ProposalEnded e) {
            proposalEnded(e.id(), e.outcome());
        } else if (event instanceof RolloutEvent.VoterRecovering e) {
            LOG.warn("voter abstains until it has asked the others: why={}", e.reason());
        } else if (event instanceof RolloutEvent.VoterReady e) {
            LOG.info("voter votes: above={}", e.floor());
        } else if (event instanceof RolloutEvent.StorageFailed e) {
            LOG.error("cannot save or read the rollout state: why={}", e.reason());
        } else if (event instanceof RolloutEvent.SourceAvoided e) {
            LOG.warn("ignoring a broker for a minute: broker={} why={}", e.broker(), e.reason());
        }
    }

    private void logFigures(long now) {
        RolloutStatus status = node.status(now);
        RolloutCounts counts = node.counts();
        LOG.atInfo()
                .setMessage("rollout figures")
                .addKeyValue("version", version(status.inForce()))
                .addKeyValue("refused", version(status.refused()))
                .addKeyValue("voter", status.voterPhase() == null ? "no" : status.voterPhase())
                .addKeyValue("heard", status.announcers())
                .addKeyValue("behind", status.behind())
                .addKeyValue("sent", counts.sent)
                .addKeyValue("bytes", counts.sentBytes)
                .addKeyValue("received", counts.received)
                .addKeyValue("bytes_received", counts.receivedBytes)
                .addKeyValue("malformed", counts.malformed)
                .addKeyValue("passed_over", counts.passedOver)
                .addKeyValue("over_allowance", counts.overAllowance)
                .addKeyValue("bad_digests", counts.badDigests)
                .addKeyValue("conflicts", counts.conflicts)
                .log();
    }

    private static long version(ConfigurationId id) {
        return id == null ? 0 : id.version();
    }
}
