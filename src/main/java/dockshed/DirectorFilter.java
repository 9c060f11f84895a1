package dockshed;

import java.util.List;

/**
 * A director in front of another one: it forwards every event that it does not handle itself, and forwards the actions
 * of the other one to its own. The order of filters is set in {@code Wiring} alone.
 */
public abstract class DirectorFilter implements Director {
    /**
     * The next director. The subclass sets it at the end of its constructor, since it is created on the filter's
     * actions.
     */
    protected Director nextDirector;

    /** Called at the start of every event that is forwarded unchanged; {@code now} is its time. */
    protected abstract void beforeEvent(long now);

    /** Forwards all actions to those that the filter itself was created with. */
    protected abstract static class ForwardingActions implements Actions {
        /** The actions to forward to. */
        protected final Actions delegate;

        protected ForwardingActions(Actions delegate) {
            this.delegate = delegate;
        }

        @Override
        public void send(String request, String server, long timeLimit) {
            delegate.send(request, server, timeLimit);
        }

        @Override
        public void refuse(String request, long retryAfter) {
            delegate.refuse(request, retryAfter);
        }

        @Override
        public void fail(String request) {
            delegate.fail(request);
        }

        @Override
        public void setRendition(String request, int rendition) {
            delegate.setRendition(request, rendition);
        }

        @Override
        public void move(String request) {
            delegate.move(request);
        }

        @Override
        public void probe(String server) {
            delegate.probe(server);
        }

        @Override
        public void broadcast(byte[] message) {
            delegate.broadcast(message);
        }

        @Override
        public void scheduleTimer(String key, long at) {
            delegate.scheduleTimer(key, at);
        }

        @Override
        public boolean mayRetry() {
            return delegate.mayRetry();
        }

        @Override
        public Pace pace(String server) {
            return delegate.pace(server);
        }

        @Override
        public double newSessionShare() {
            return delegate.newSessionShare();
        }

        @Override
        public boolean shouldAvoid(String server) {
            return delegate.shouldAvoid(server);
        }

        @Override
        public long retryAfterUnit(String request) {
            return delegate.retryAfterUnit(request);
        }
    }

    @Override
    public void request(long now, Request request) {
        beforeEvent(now);
        nextDirector.request(now, request);
    }

    @Override
    public void adoptSession(long now, Request request, String server) {
        beforeEvent(now);
        nextDirector.adoptSession(now, request, server);
    }

    @Override
    public void sessionStarted(long now, String request, int attempt, String server) {
        beforeEvent(now);
        nextDirector.sessionStarted(now, request, attempt, server);
    }

    @Override
    public void outcome(
            long now, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        beforeEvent(now);
        nextDirector.outcome(now, request, attempt, server, outcome, last, report);
    }

    @Override
    public void metricReceived(long now, String request, String server, Metric metric, double value) {
        beforeEvent(now);
        nextDirector.metricReceived(now, request, server, metric, value);
    }

    @Override
    public void requestCancelled(long now, String request) {
        beforeEvent(now);
        nextDirector.requestCancelled(now, request);
    }

    @Override
    public void serversChanged(long now, ListScope scope, List<Server> servers) {
        beforeEvent(now);
        nextDirector.serversChanged(now, scope, servers);
    }

    @Override
    public void probed(long now, String server, boolean healthy, LoadReport report) {
        beforeEvent(now);
        nextDirector.probed(now, server, healthy, report);
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] message) {
        beforeEvent(now);
        nextDirector.peerMessageReceived(now, from, message);
    }

    @Override
    public void timer(long now, String key) {
        beforeEvent(now);
        nextDirector.timer(now, key);
    }

    @Override
    public void connected(long now) {
        beforeEvent(now);
        nextDirector.connected(now);
    }
}
