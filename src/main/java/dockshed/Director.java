package dockshed;

import java.util.List;

/**
 * The interface of the decision module: what it is told (events), and what it may do ({@link Actions}).
 *
 * <p>Units: every time and duration is a {@code long} in microseconds of the caller's clock, rates are kB a second,
 * worths are per second. {@code now} never goes backwards. The module keeps no thread and reads no clock: it must be
 * called from one thread at a time, and acts only inside a call, through the {@code Actions} it was built with.
 *
 * <p>The caller owes it: {@link #serversChanged} with the last known list first of all; each event once, in the order in
 * which it happened; {@link #timer} at or after each time asked for. The module promises: exactly one final answer to
 * each request (a set-up that plays, {@code refuse} or {@code fail}), never two attempts of a request out at once, and
 * the same actions for the same settings, seed and events.
 */
public interface Director {

    /** What a repeated set-up does. */
    enum Effect {
        SAFE,
        KEYED,
        AT_MOST_ONCE
    }

    /** How an attempt ended; FULL, CONNECT_FAILED and MOOT prove that it never ran. */
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

    /** DELIVERED: share of the rate that arrives; RUNG: in force; LINK, UPLINK: what is asked over what it gives. */
    enum Metric {
        DELIVERED,
        RENDITION,
        LINK,
        UPLINK
    }

    /** What a list of servers is: only what changed, all there is, or all as it was last known before a restart. */
    enum ListScope {
        CHANGES,
        SNAPSHOT,
        DISK,
        ERROR
    }

    /** What is known of a fresh server's pace beside the module: nothing, that a set-up more is within it, or over. */
    enum Pace {
        UNKNOWN,
        WITHIN,
        OVER
    }

    /** State of a server in the list. */
    enum State {
        UP,
        DRAINING,
        GONE
    }

    /** A class of sessions. {@code floor} and {@code top} are rungs; {@code seats} 0 means no limit. */
    record SessionClass(
            String name,
            Effect effect,
            long goalTime,
            long deadline,
            double worth,
            double scale,
            int floor,
            int top,
            int seats) {
        public SessionClass {
            require(worth > 0, "points, the worth of class " + name);
            require(scale > 0, "class_scale of class " + name);
            require(goalTime > 0 && deadline > 0, "goal_time or deadline of class " + name);
            require(floor >= 0 && floor <= top, "lowest_rung, the floor of class " + name);
            require(seats >= 0, "class_seats of class " + name);
        }
    }

    /** A kind of server and the streams that it runs at most. */
    record ServerKind(String name, int streams) {
        public ServerKind {
            require(streams > 0, "kind_slots of kind " + name);
        }
    }

    /** The ladder of rates and what they earn, and the links that carry them. {@code guard} 0: servers never refuse. */
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
            require(!rates.isEmpty(), "rates_kb: rungs");
            require(rates.size() == worths.size(), "level_worth: worths of the rungs");
            for (int i = 0; i < rates.size(); i++) {
                require(rates.get(i) > (i == 0 ? 0 : rates.get(i - 1)), "rates_kb: rate of rung " + i);
                require(worths.get(i) >= (i == 0 ? 0 : worths.get(i - 1)), "level_worth: worth of rung " + i);
            }
            require(linksKb >= 0 && weightKb >= 0 && uplinkKb >= 0, "links_kb, weight_kb or uplink_kb");
            require(racks > 0, "cabinets");
            require(cells > 0, "cells");
            require(guard >= 0 && stall >= 0 && switchCost >= 0, "guard, stall or switch_cost_s");
        }
    }

    /** What the caller can do and how long things take. {@code tell} 0: no notes of topics LINK and UPLINK. */
    record Limits(
            int attempts,
            boolean probing,
            boolean peers,
            long connectTimeout,
            long maxRetryAfter,
            long reportDelay,
            long reportInterval) {
        public Limits {
            require(attempts > 0, "try_limit");
            require(
                    connectTimeout >= 0 && maxRetryAfter >= 0 && reportDelay >= 0 && reportInterval >= 0,
                    "connect_timeout, max_retry_after, see or reports_every");
        }
    }

    /** The figures of the rules. {@code countedOver} 0: attempts are not rationed. */
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
                    "drain_grace, warm_up, fall or counted_over");
            require(coldStartShare >= 0 && coldStartShare <= 1, "cold_from");
            require(
                    overloadMultiple >= 0 && spareRetries >= 0 && retryRatio >= 0,
                    "tip_multiple, spare_attempts or extra_ratio");
        }

        /** The part of its rate that a server gives which started then; 1 once it must be warm. */
        public double warmth(long now, long since) {
            return now - since >= warmUp
                    ? 1
                    : coldStartShare + (1 - coldStartShare) * Math.max(0, now - since) / (double) warmUp;
        }

        /** Of the chance at most with which a cold server's window may hold more than it bears, the logarithm. */
        private static final double LOG_BREAK = Math.log(1e-5);

        /**
         * The mean of set-ups in a window of a cold server's fall, of many senders who decide for themselves, that exceeds a
         * budget by over 2 x its root + 2 with the chance 1e-5 at most; by Chernoff's bound, so for any of them.
         */
        public static double maxMeanSetUps(double budget) {
            double over = Math.floor(budget + 2 * Math.sqrt(budget) + 2) + 1;
            double low = 0;
            double high = over;
            for (int i = 0; i < 40; i++) {
                double mean = (low + high) / 2;
                if (over - mean + over * Math.log(mean / over) <= LOG_BREAK) {
                    low = mean;
                } else {
                    high = mean;
                }
            }
            return low;
        }
    }

    /** Points taken off the result: for sessions that cross zones, for moves, probes and handshakes with servers. */
    record Prices(double crossZone, double move, double probe, double handshake) {}

    /** All that a director is handed at its start. {@code reportFields} names the values of a load report in order. */
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
            require(brokers > 0 && brokerNumber >= 0 && brokerNumber < brokers, "me or balancers");
            require(!classes.isEmpty(), "classes");
            for (SessionClass c : classes) {
                require(c.floor() < ladder.rates().size(), "lowest_rung of class " + c.name());
            }
        }

        /** The streams that a server of the kind runs; one that is not told of runs what every kind does. */
        public int streams(String kind) {
            int least = kinds.stream().mapToInt(ServerKind::streams).min().orElse(1);
            return kinds.stream()
                    .filter(k -> k.name().equals(kind))
                    .mapToInt(ServerKind::streams)
                    .findFirst()
                    .orElse(least);
        }
    }

    /** A value of a load report; OTHER is one that the module has no use for. */
    enum ReportField {
        STREAMS,
        LINK,
        UPLINK,
        OTHER
    }

    /** An entry of the list. {@code upSince} 0: long ago. {@code cell} tells the titles held and, mod racks, the rack. */
    record Server(String id, String zone, String kind, int cell, State state, double weight, long upSince) {}

    /**
     * A viewer's wish for a session. {@code patience}: how long the viewer waits; {@code length}: guess of the stay, 0
     * unknown; the title is held by {@code copies} cells in a row from {@code home}; {@code top}: the best rung.
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

    /** Values of a server's load report in the order of {@link Settings#reportFields}; empty when none came. */
    record LoadReport(List<Double> values) {
        public static final LoadReport NONE = new LoadReport(List.of());

        public LoadReport {
            values = List.copyOf(values);
        }
    }

    /** A session to be set up. */
    void request(long now, Request request);

    /** A session that plays already when the director starts. */
    void adoptSession(long now, Request request, String server);

    /** The viewer watches: the attempt has become a session. */
    void sessionStarted(long now, String request, int attempt, String server);

    /** An attempt or session is over; {@code last}: nothing more is owed to the viewer. */
    void outcome(
            long now, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report);

    /** A figure about a playing session and its server. */
    void metricReceived(long now, String request, String server, Metric topic, double value);

    /** The viewer has left before an answer: nothing more is owed. */
    void requestCancelled(long now, String request);

    /** News of the servers. */
    void serversChanged(long now, ListScope scope, List<Server> servers);

    /** Answer to a {@link Actions#probe}. */
    void probed(long now, String server, boolean healthy, LoadReport report);

    /** A message from another director. */
    void peerMessageReceived(long now, int from, byte[] message);

    /** A time that was asked for has come. */
    void timer(long now, String key);

    /** A viewer's connection has come up. */
    default void connected(long now) {}

    /** What the module may do; each takes effect at once, in the order called. */
    interface Actions {
        /** Ask a server to set the session up, for at most {@code allow}. */
        void send(String request, String server, long allow);

        /** Turn the viewer away, unserved; {@code comeBack}: when to ask again, 0 without advice. */
        void refuse(String request, long comeBack);

        /** End the request with an error: it may have run. */
        void fail(String request);

        /** Set the session's rung. */
        void setRendition(String request, int rung);

        /** Take the session off its server; the viewer comes back as a new request. */
        void move(String request);

        /** Check on a server. */
        void probe(String server);

        /** Message to every other director. */
        void broadcast(byte[] message);

        /** Ask for {@link Director#timer} at a time. */
        void timer(String key, long at);

        /** Whether a further attempt for a request is within what all further attempts together may be. */
        default boolean mayRetry() {
            return true;
        }

        /** Whether a server that may have just started can be sent one set-up more now. */
        default Pace pace(String server) {
            return Pace.UNKNOWN;
        }

        /** The part of a server's headroom that this director's newcomers may take, of 1; negative: nobody shares it out. */
        default double newSessionShare() {
            return -1;
        }

        /** Whether somebody is just finding out about the server: what can go elsewhere need not go there. */
        default boolean shouldAvoid(String server) {
            return false;
        }

        /** What a viewer's way back is told in: microseconds, whole multiples of which reach it. */
        default long retryAfterUnit(String request) {
            return 1000;
        }
    }

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting out of range: " + setting);
        }
    }
}
