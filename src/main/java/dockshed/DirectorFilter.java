package dockshed;

import java.util.List;

/**
 * A director that stands before another and passes on whatever it does not treat itself; and the actions that it hands to
 * that one. The order of layers is set in {@code Wiring} alone.
 */
public abstract class DirectorFilter implements Director {
    /** The next one; set by the constructor of the subclass, last, as it is built on the actions handed to it. */
    protected Director nextDirector;

    /** Called first in every event that is passed on as it is. */
    protected abstract void beforeEvent(long at);

    /** Actions that go through to those that the layer itself was given. */
    protected abstract static class ForwardingActions implements Actions {
        protected final Actions delegate;

        protected ForwardingActions(Actions out) {
            this.delegate = out;
        }

        @Override
        public void send(String request, String server, long allow) {
            delegate.send(request, server, allow);
        }

        @Override
        public void refuse(String request, long comeBack) {
            delegate.refuse(request, comeBack);
        }

        @Override
        public void fail(String request) {
            delegate.fail(request);
        }

        @Override
        public void setRendition(String request, int rung) {
            delegate.setRendition(request, rung);
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
        public void timer(String key, long at) {
            delegate.timer(key, at);
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
    public void request(long at, Request request) {
        beforeEvent(at);
        nextDirector.request(at, request);
    }

    @Override
    public void adoptSession(long at, Request request, String server) {
        beforeEvent(at);
        nextDirector.adoptSession(at, request, server);
    }

    @Override
    public void sessionStarted(long at, String request, int attempt, String server) {
        beforeEvent(at);
        nextDirector.sessionStarted(at, request, attempt, server);
    }

    @Override
    public void outcome(
            long at, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        beforeEvent(at);
        nextDirector.outcome(at, request, attempt, server, outcome, last, report);
    }

    @Override
    public void metricReceived(long at, String request, String server, Metric topic, double value) {
        beforeEvent(at);
        nextDirector.metricReceived(at, request, server, topic, value);
    }

    @Override
    public void requestCancelled(long at, String request) {
        beforeEvent(at);
        nextDirector.requestCancelled(at, request);
    }

    @Override
    public void serversChanged(long at, ListScope scope, List<Server> servers) {
        beforeEvent(at);
        nextDirector.serversChanged(at, scope, servers);
    }

    @Override
    public void probed(long at, String server, boolean healthy, LoadReport report) {
        beforeEvent(at);
        nextDirector.probed(at, server, healthy, report);
    }

    @Override
    public void peerMessageReceived(long at, int from, byte[] message) {
        beforeEvent(at);
        nextDirector.peerMessageReceived(at, from, message);
    }

    @Override
    public void timer(long at, String key) {
        beforeEvent(at);
        nextDirector.timer(at, key);
    }

    @Override
    public void connected(long at) {
        beforeEvent(at);
        nextDirector.connected(at);
    }
}
