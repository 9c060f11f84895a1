package dockshed.edge;

import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.core.Broker;
import dockshed.net.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Interprets the messages of edge servers and reports them to the broker: answers, releases with their causes, metrics
 * and load reports. Runs on the event loop's thread only.
 */
final class ServerMessages {
    /** The connection that a message came on. */
    interface Source {
        /** The id of the edge server at its other end. */
        String serverId();

        /** Whether a set-up of this id was sent on it and is not answered yet. */
        boolean hasPendingSetUp(String id);

        /** Removes a set-up from those that are not answered yet; returns whether it was one of them. */
        boolean removePendingSetUp(String id);

        /** Sends a message to the edge server. */
        void send(Message message);
    }

    /** Highest value accepted in a metric or load report: no server runs more streams or has more demand on its link. */
    private static final double MAX_REPORTED_VALUE = 100_000;

    /** The logger of the whole package keeps its earlier name, by which operators filter log lines. */
    private static final Logger LOG = LoggerFactory.getLogger("dockshed.edge.Edges");

    private final Broker broker;
    private final Clock clock;
    private final List<String> reportFields;
    private final RecentReleases recentReleases = new RecentReleases();
    private boolean incompleteReportLogged; // the warning is logged once
    private long lastMetricAt; // from any server

    /** {@code reportFields} are the names of a load report's values, in the order in which the broker wants them. */
    ServerMessages(Broker broker, Clock clock, List<String> reportFields) {
        this.broker = broker;
        this.clock = clock;
        this.reportFields = reportFields;
    }

    /** A session has been taken over: it is over if its server has released it before. */
    void sessionAdopted(String serverId, String name) {
        long now = clock.now();
        recentReleases.find(now, serverId, name).ifPresent(outcome -> {
            LOG.info("session taken over after its release: session={} server={}", name, serverId);
            broker.ended(now, serverId, name, outcome, LoadReport.NONE);
        });
    }

    /** When any server last reported a metric, in microseconds of Unix time; 0 if none has. */
    long lastMetricAt() {
        return lastMetricAt;
    }

    /**
     * Handles a message that {@code source} has received.
     *
     * @throws Message.MalformedMessageException if it lacks what its type requires
     */
    void handle(Source source, Message message) throws Message.MalformedMessageException {
        long now = clock.now();
        String serverId = source.serverId();
        if (!message.type().equals("note")) {
            broker.trace().add(now, message.id(), message.type(), serverId);
            LOG.debug(
                    "message from edge server: id={} session={} type={} cause={}",
                    serverId,
                    message.id(),
                    message.type(),
                    message.cause());
        }
        switch (message.type()) {
            case "answer" -> {
                if (source.hasPendingSetUp(message.id())) { // otherwise a duplicate, or never asked for
                    if (message.sdp() == null) {
                        throw new Message.MalformedMessageException(
                                "answer without an sdp: expected a session description");
                    }
                    source.removePendingSetUp(message.id());
                    broker.setUpAnswered(now, serverId, message.id(), message.sdp());
                }
            }
            case "release" -> {
                boolean beforeAnswer = source.removePendingSetUp(message.id());
                Outcome outcome =
                        beforeAnswer ? outcomeBeforeAnswer(message.cause()) : outcomeAfterAnswer(message.cause());
                if (!beforeAnswer) {
                    recentReleases.add(now, serverId, message.id(), outcome);
                }
                broker.ended(
                        now,
                        serverId,
                        message.id(),
                        outcome,
                        parseLoadReport(message.fields().get("load")));
            }
            case "note" -> {
                lastMetricAt = now;
                handleMetric(now, serverId, message);
            }
            case "ping" -> source.send(new Message("pong", message.id(), Map.of(), 1, null));
            default -> {} // progress and free capacity are not used
        }
    }

    /** What a release with this cause means for a set-up that is not answered yet. */
    private static Outcome outcomeBeforeAnswer(int cause) {
        return switch (cause) {
            case 34 -> Outcome.FULL;
            case 47 -> Outcome.ERROR;
            case 102 -> Outcome.MOOT;
            default -> Outcome.RESET;
        };
    }

    /** What a release with this cause means for an active session. */
    private static Outcome outcomeAfterAnswer(int cause) {
        return switch (cause) {
            case 16 -> Outcome.OK;
            case 31 -> Outcome.CANCELLED;
            default -> Outcome.RESET;
        };
    }

    private void handleMetric(long now, String serverId, Message message) {
        Metric metric =
                switch (message.fields().getOrDefault("note", "")) {
                    case "fill" -> Metric.DELIVERED;
                    case "grade" -> Metric.RENDITION;
                    case "local" -> Metric.LINK;
                    case "upstream" -> Metric.UPLINK;
                    default -> null;
                };
        try {
            double value = Double.parseDouble(message.fields().getOrDefault("value", ""));
            if (metric != null && value >= 0 && value <= MAX_REPORTED_VALUE) {
                broker.metricReceived(now, serverId, message.id(), metric, value);
            }
        } catch (NumberFormatException e) {
            LOG.warn("note from edge server without a number: id={}", serverId);
        }
    }

    /** Parses a load report such as {@code x0:12;x1:40}; none unless it has every field of the settings. */
    private LoadReport parseLoadReport(String load) {
        if (load == null) {
            return LoadReport.NONE;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : load.split(";")) {
            int colon = pair.indexOf(':');
            try {
                if (colon > 0) {
                    double value = Double.parseDouble(pair.substring(colon + 1).strip());
                    if (!(value > -1
                            && value <= MAX_REPORTED_VALUE)) { // measurement noise may put a value slightly below 0
                        return LoadReport.NONE;
                    }
                    values.put(pair.substring(0, colon).strip(), Math.max(0, value));
                }
            } catch (NumberFormatException e) {
                return LoadReport.NONE;
            }
        }
        List<Double> ordered = new ArrayList<>();
        for (String field : reportFields) {
            if (!values.containsKey(field)) {
                if (!incompleteReportLogged) {
                    LOG.warn("load report lacks a field that the settings name: field={} report={}", field, load);
                    incompleteReportLogged = true;
                }
                return LoadReport.NONE;
            }
            ordered.add(values.get(field));
        }
        return new LoadReport(ordered);
    }
}
