package dockshed.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A rack: its uplink and the edge servers behind it. */
public final class Rack extends Link {
    private static final long NEVER_CONFIRMED_AT_US = -1_000_000;

    private final List<EdgeServer> servers = new ArrayList<>();
    private double uplinkKb;
    private long confirmedShortAt = NEVER_CONFIRMED_AT_US;

    /** The edge servers behind the uplink. */
    public List<EdgeServer> servers() {
        return Collections.unmodifiableList(servers);
    }

    void clear() {
        servers.clear();
    }

    void add(EdgeServer server) {
        servers.add(server);
    }

    /** Estimated rate of the uplink in kB/s. */
    public double uplinkKb() {
        return uplinkKb;
    }

    void setInitialUplink(double kb) {
        setConfiguredKb(kb);
        uplinkKb = kb;
    }

    /** Lowers the estimated rate of the uplink, which delivers less than its sessions need. */
    public void lowerUplink(long now, double kb) {
        markShort(now);
        uplinkKb = Math.min(uplinkKb, kb);
    }

    /** Raises the estimated rate of the uplink by {@code deltaKb}, up to the configured one. */
    public void raiseUplink(double deltaKb) {
        if (uplinkKb < configuredKb()) {
            uplinkKb = Math.min(configuredKb(), uplinkKb + deltaKb);
        }
    }

    /** This broker's sessions at its servers. */
    public List<Session> sessions() {
        return servers.stream().flatMap(s -> s.sessions().stream()).toList();
    }

    /** Whether at least half of the servers with own sessions, and more than one, delivered short within that time. */
    public boolean mostShort(long now, long within) {
        long shortServers =
                servers.stream().filter(s -> now - s.shortAt() < within).count();
        long serversWithSessions = servers.stream().filter(s -> !s.idle()).count();
        return shortServers > 1 && 2 * shortServers >= serversWithSessions;
    }

    @Override
    public double nominalKb() {
        return uplinkKb;
    }

    /** Records that most of its servers deliver short. */
    public void confirmShort(long now) {
        confirmedShortAt = now;
    }

    /** When most of its servers were last found to deliver short, microseconds. */
    public long confirmedShortAt() {
        return confirmedShortAt;
    }
}
