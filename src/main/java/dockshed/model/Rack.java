package dockshed.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A rack's uplink, and the edge servers behind it. */
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

    /** What the uplink gives, as learnt. */
    public double uplinkKb() {
        return uplinkKb;
    }

    void setInitialUplink(double kb) {
        setConfiguredKb(kb);
        uplinkKb = kb;
    }

    /** The uplink is found to give no more than this. */
    public void lowerUplink(long now, double kb) {
        markShort(now);
        uplinkKb = Math.min(uplinkKb, kb);
    }

    /** The uplink may give so much more than was found, up to what was told. */
    public void raiseUplink(double by) {
        if (uplinkKb < configuredKb()) {
            uplinkKb = Math.min(configuredKb(), uplinkKb + by);
        }
    }

    /** This director's sessions at its servers. */
    public List<Session> sessions() {
        return servers.stream().flatMap(s -> s.sessions().stream()).toList();
    }

    /** Whether most servers with sessions here, and more than one, were found short within that span. */
    public boolean mostShort(long now, long within) {
        long shorts = servers.stream().filter(s -> now - s.shortAt() < within).count();
        long heard = servers.stream().filter(s -> !s.idle()).count();
        return shorts > 1 && 2 * shorts >= heard;
    }

    @Override
    public double nominalKb() {
        return uplinkKb;
    }

    /** Most of its servers deliver short. */
    public void confirmShort(long now) {
        confirmedShortAt = now;
    }

    /** When most of its servers were last found to deliver short. */
    public long confirmedShortAt() {
        return confirmedShortAt;
    }
}
