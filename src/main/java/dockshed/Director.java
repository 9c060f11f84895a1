package dockshed;

import java.util.List;

/**
 * The interface of the decision module: the events it receives, and the actions it may take ({@link Actions}).
 *
 * <p>Units: every time and duration is a {@code long} in microseconds of the caller's clock, rates are in kB/s, worths
 * are per second. {@code now} is the time of the event and never goes backwards. The module starts no threads and reads
 * no clock: it must be called from one thread at a time, and acts only during a call, through the {@code Actions} that
 * it was created with.
 *
 * <p>The caller must deliver {@link #serversChanged} with the last known list first; each event once, in the order in
 * which the events happened; and {@link #timer} at or after each requested time. The module guarantees exactly one
 * final answer to each request (a set-up that plays, {@code refuse} or {@code fail}), at most one attempt of a request
 * at a time, and the same actions for the same settings, seed and events.
 */
public interface Director {

    /**
     * Whether a set-up may be repeated. SAFE: always. KEYED: the server recognizes repeats by their key. AT_MOST_ONCE:
     * only if it is certain that no earlier one ran.
     */
    enum Effect {
        SAFE,
        KEYED,
        AT_MOST_ONCE
    }

    /** How an attempt or session ended. FULL, CONNECT_FAILED and MOOT (not sent) prove that the set-up did not run. */
    enum Outcome {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT
    }

    /**
     * A metric of a playing session and its server. DELIVERED: share of the rate that arrives. RENDITION: index of the
     * rendition in use. LINK, UPLINK: demand on the server's link or its rack's uplink over its capacity; over 1 it is
     * overloaded.
     */
    enum Metric {
        DELIVERED,
        RENDITION,
        LINK,
        UPLINK
    }

    /**
     * What a list of servers contains. CHANGES: only changed entries. SNAPSHOT: all servers. DISK: all servers as last
     * known before this broker restarted. ERROR: nothing, the list could not be read.
     */
    enum ListScope {
        CHANGES,
        SNAPSHOT,
        DISK,
        ERROR
    }

    /**
     * Whether a server that may have just started can take one more set-up now, as far as the caller knows. UNKNOWN:
     * the module decides by itself. WITHIN, OVER: the set-up is within or over the server's pace.
     */
    enum Pace {
        UNKNOWN,
        WITHIN,
        OVER
    }

    /** State of a server in the list. DRAINING: its sessions go on, but it takes no new ones. */
    enum State {
        UP,
        DRAINING,
        GONE
    }

    /**
     * A class of sessions.
     *
     * @param goalTime time from request to playing that is aimed at
     * @param deadline time after the request at which its viewers stop waiting
     * @param worth what a session earns per second, relative to other classes
     * @param rateScale factor on the rates of the ladder
     * @param lowestRendition index of the lowest rendition that its sessions get
     * @param highestRendition index of the highest rendition that its sessions get
     * @param seats sessions of the class for each title; 0: no limit
     */
    record SessionClass(
            String name,
            Effect effect,
            long goalTime,
            long deadline,
            double worth,
            double rateScale,
            int lowestRendition,
            int highestRendition,
            int seats) {
        public SessionClass {
            require(worth > 0, "points: expected a number over 0 as the worth of class " + name);
            require(rateScale > 0, "class_scale: expected a number over 0 for class " + name);
            require(goalTime > 0 && deadline > 0, "goal_time, deadline: expected times over 0 for class " + name);
            require(
                    lowestRendition >= 0 && lowestRendition <= highestRendition,
                    "lowest_rung: expected 0 to top_by_class for class " + name);
            require(seats >= 0, "class_seats: expected 0 or more for class " + name);
        }
    }

    /** A kind of server and the maximum number of concurrent streams on it. */
    record ServerKind(String name, int streams) {
        public ServerKind {
            require(streams > 0, "kind_slots: expected 1 or more for kind " + name);
        }
    }

    /**
     * The ladder of renditions, and the links that carry them.
     *
     * @param rates of the renditions in kB/s, increasing
     * @param worths of the renditions, relative to the worth of the class, non-decreasing
     * @param linksKb sum of all links in kB/s
     * @param weightKb link of a server of weight 1 in kB/s
     * @param uplinkKb mean uplink of a rack in kB/s
     * @param racks number of racks; a server's rack is its cell modulo this number
     * @param cells number of cells in the ring of titles
     * @param guard 0: servers never refuse
     * @param switchCost cost of a change of rendition, as time played
     */
    record Ladder(
            List<Double> rates,
            List<Double> worths,
            double linksKb,
            double weightKb,
            double uplinkKb,
            int racks,
            int cells,
            double guard,
            double stall,
            long switchCost) {
        public Ladder {
            rates = List.copyOf(rates);
            worths = List.copyOf(worths);
            require(!rates.isEmpty(), "rates_kb: expected one or more renditions");
            require(rates.size() == worths.size(), "level_worth: expected as many values as in rates_kb");
            for (int i = 0; i < rates.size(); i++) {
                require(
                        rates.get(i) > (i == 0 ? 0 : rates.get(i - 1)),
                        "rates_kb: expected increasing rates over 0 at rendition " + i);
                require(
                        worths.get(i) >= (i == 0 ? 0 : worths.get(i - 1)),
                        "level_worth: expected non-decreasing worths of 0 or more at rendition " + i);
            }
            require(
                    linksKb >= 0 && weightKb >= 0 && uplinkKb >= 0,
                    "links_kb, weight_kb, uplink_kb: expected rates of 0 or more");
            require(racks > 0, "cabinets: expected 1 or more");
            require(cells > 0, "cells: expected 1 or more");
            require(guard >= 0 && stall >= 0 && switchCost >= 0, "guard, stall, switch_cost_s: expected 0 or more");
        }
    }

    /**
     * What the caller supports, and its delays.
     *
     * @param attempts set-ups of a request in all
     * @param probing whether {@link Actions#probe} may be used
     * @param peers whether {@link Actions#broadcast} may be used
     * @param connectTimeout for a connection to a server
     * @param maxRetryAfter longest time that a refused viewer is asked to wait; 0: no such advice
     * @param reportDelay age of a metric when it is received
     * @param reportInterval time between metrics LINK and UPLINK of a server; 0: there are none
     */
    record Limits(
            int attempts,
            boolean probing,
            boolean peers,
            long connectTimeout,
            long maxRetryAfter,
            long reportDelay,
            long reportInterval) {
        public Limits {
            require(attempts > 0, "try_limit: expected 1 or more");
            require(
                    connectTimeout >= 0 && maxRetryAfter >= 0 && reportDelay >= 0 && reportInterval >= 0,
                    "connect_timeout, max_retry_after, see, reports_every: expected times of 0 or more");
        }
    }

    /**
     * The parameters of the rules.
     *
     * @param drainGrace time after a server began to drain within which set-ups may still reach it
     * @param coldStartShare share of its rate, 0 to 1, that a server gives right after its start
     * @param warmUp time after its start at which a server gives its full rate
     * @param overloadMultiple a cold server fails if it gets more than this multiple of the set-ups that it can take
     * @param overloadWindow time over which those set-ups are counted; 0: no limit
     * @param spareRetries retries allowed in addition to the ratio
     * @param retryRatio retries allowed per new request
     * @param retryWindow time over which retries and requests are counted; 0: retries are not limited
     */
    record Rules(
            long drainGrace,
            double coldStartShare,
            long warmUp,
            double overloadMultiple,
            long overloadWindow,
            int spareRetries,
            double retryRatio,
            long retryWindow) {
        public Rules {
            require(
                    drainGrace >= 0 && warmUp >= 0 && overloadWindow >= 0 && retryWindow >= 0,
                    "drain_grace, warm_up, fall, counted_over: expected times of 0 or more");
            require(coldStartShare >= 0 && coldStartShare <= 1, "cold_from: expected 0 to 1");
            require(
                    overloadMultiple >= 0 && spareRetries >= 0 && retryRatio >= 0,
                    "tip_multiple, spare_attempts, extra_ratio: expected 0 or more");
        }

        /** Share of its rate that a server gives at {@code now} if it started at {@code since}; 1 after the warm-up. */
        public double warmth(long now, long since) {
            return now - since >= warmUp
                    ? 1
                    : coldStartShare + (1 - coldStartShare) * Math.max(0, now - since) / (double) warmUp;
        }

        /** Logarithm of the highest accepted probability that a cold server is overloaded within a window. */
        private static final double LOG_OVERLOAD_PROBABILITY = Math.log(1e-5);

        /**
         * The highest mean number of set-ups in a window, sent by many independent brokers, at which their actual
         * number exceeds budget + 2 * sqrt(budget) + 2 with a probability of at most 1e-5. By Chernoff's bound, so it
         * holds however the set-ups are spread over the brokers.
         *
         * @param budget set-ups that a cold server can take in a window
         */
        public static double maxMeanSetUps(double budget) {
            double limit = Math.floor(budget + 2 * Math.sqrt(budget) + 2) + 1;
            double low = 0;
            double high = limit;
            for (int i = 0; i < 40; i++) {
                double mean = (low + high) / 2;
                if (limit - mean + limit * Math.log(mean / limit) <= LOG_OVERLOAD_PROBABILITY) {
                    low = mean;
                } else {
                    high = mean;
                }
            }
            return low;
        }
    }

    /** Penalties in points for sessions that cross zones, for moves, for probes, and for handshakes with servers. */
    record Prices(double crossZone, double move, double probe, double handshake) {}

    /**
     * The settings that a decision module starts with.
     *
     * @param brokerNumber this broker, from 0
     * @param brokers number of brokers
     * @param zone of this broker
     * @param reportFields what the values of a load report are, in their order
     */
    record Settings(
            int brokerNumber,
            int brokers,
            String zone,
            List<SessionClass> classes,
            List<ServerKind> kinds,
            Ladder ladder,
            Limits limits,
            Rules rules,
            Prices prices,
            List<ReportField> reportFields) {
        public Settings {
            classes = List.copyOf(classes);
            kinds = List.copyOf(kinds);
            reportFields = List.copyOf(reportFields);
            require(
                    brokers > 0 && brokerNumber >= 0 && brokerNumber < brokers,
                    "me, balancers: expected me from 0 to balancers - 1");
            require(!classes.isEmpty(), "classes: expected one or more");
            for (SessionClass sessionClass : classes) {
                require(
                        sessionClass.lowestRendition() < ladder.rates().size(),
                        "lowest_rung: expected a rendition of rates_kb for class " + sessionClass.name());
            }
        }

        /** Maximum concurrent streams on a server of that kind; for an unknown kind the lowest of all kinds. */
        public int streams(String kind) {
            int lowest = kinds.stream().mapToInt(ServerKind::streams).min().orElse(1);
            return kinds.stream()
                    .filter(k -> k.name().equals(kind))
                    .mapToInt(ServerKind::streams)
                    .findFirst()
                    .orElse(lowest);
        }
    }

    /** A value of a load report; OTHER is one that the module does not use. */
    enum ReportField {
        STREAMS,
        LINK,
        UPLINK,
        OTHER
    }

    /**
     * An entry of the server list.
     *
     * @param cell determines the titles that the server holds and, modulo the number of racks, its rack
     * @param weight of its link, relative to other servers
     * @param upSince when it started; 0: long ago
     */
    record Server(String id, String zone, String kind, int cell, State state, double weight, long upSince) {
        /** The same server in another state. */
        public Server withState(State newState) {
            return new Server(id, zone, kind, cell, newState, weight, upSince);
        }
    }

    /**
     * A viewer's request for a session.
     *
     * @param clientDeadline time from the request until the viewer stops waiting
     * @param expectedDuration the viewer's estimate of the length of the session; 0: unknown
     * @param homeCell first of the cells that hold the title
     * @param copies number of consecutive cells that hold the title
     * @param highestRendition index of the highest rendition that the viewer can play
     * @param retry whether the viewer repeats an earlier request
     * @param afterMove whether its session was moved off a server
     * @param returning whether the viewer says that it has requested this session before
     */
    record Request(
            String id,
            String className,
            String viewer,
            String title,
            long clientDeadline,
            long expectedDuration,
            int homeCell,
            int copies,
            int highestRendition,
            boolean retry,
            boolean afterMove,
            boolean returning) {}

    /** Values of a server's load report in the order of {@link Settings#reportFields}; empty if there was no report. */
    record LoadReport(List<Double> values) {
        /** No report. */
        public static final LoadReport NONE = new LoadReport(List.of());

        public LoadReport {
            values = List.copyOf(values);
        }
    }

    /** A viewer requests a session. */
    void request(long now, Request request);

    /** A session was already playing at the server when this broker started. */
    void adoptSession(long now, Request request, String server);

    /** An attempt succeeded: the session plays from now on. */
    void sessionStarted(long now, String request, int attempt, String server);

    /** An attempt or session has ended. {@code last}: the viewer needs no further answer. */
    void outcome(
            long now, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report);

    /** A metric of a playing session and its server was received. */
    void metricReceived(long now, String request, String server, Metric metric, double value);

    /** The viewer has cancelled the request or session and needs no answer. */
    void requestCancelled(long now, String request);

    /** The server list has changed, or could not be read ({@link ListScope#ERROR}). */
    void serversChanged(long now, ListScope scope, List<Server> servers);

    /** The result of a {@link Actions#probe}. */
    void probed(long now, String server, boolean healthy, LoadReport report);

    /** A message from another broker was received. */
    void peerMessageReceived(long now, int from, byte[] message);

    /** A time requested by {@link Actions#scheduleTimer} has been reached. */
    void timer(long now, String key);

    /** A viewer has connected. */
    default void connected(long now) {}

    /** The actions of the module; each takes effect at once, in the order of the calls. */
    interface Actions {
        /** Sends a set-up to a server, which has {@code timeLimit} to answer. */
        void send(String request, String server, long timeLimit);

        /** Refuses a request; {@code retryAfter}: time after which the viewer may retry, 0 without advice. */
        void refuse(String request, long retryAfter);

        /** Ends a request with an error, as a set-up may have run. */
        void fail(String request);

        /** Sets the session's rendition. */
        void setRendition(String request, int rendition);

        /** Ends the session at its server; the viewer then sends a new request. */
        void move(String request);

        /** Sends a health probe to a server. */
        void probe(String server);

        /** Sends a message to all other brokers. */
        void broadcast(byte[] message);

        /** Requests {@link Director#timer} at a time. */
        void scheduleTimer(String key, long at);

        /** Whether the retry budget that all requests share allows one more attempt. */
        default boolean mayRetry() {
            return true;
        }

        /** Whether a server that may have just started can be sent one more set-up now. */
        default Pace pace(String server) {
            return Pace.UNKNOWN;
        }

        /**
         * Share, 0 to 1, of a server's headroom that this broker's new sessions may use; negative: none is assigned.
         */
        default double newSessionShare() {
            return -1;
        }

        /** Whether the server is being probed or suspect, so that new sessions should go elsewhere if they can. */
        default boolean shouldAvoid(String server) {
            return false;
        }

        /** Unit, in microseconds, of the retry time that can be sent to the viewer; it gets whole multiples. */
        default long retryAfterUnit(String request) {
            return 1000;
        }
    }

    private static void require(boolean valid, String setting) {
        if (!valid) {
            throw new IllegalArgumentException("invalid setting: " + setting);
        }
    }
}
