package dockshed;

import java.util.List;

/**
 * A director that stands before another and passes on whatever it does not treat itself; and the actions that it hands to
 * that one. The order of layers is set in {@code Wiring} alone.
 */
public abstract class Layer implements Director {
    /** The next one; set by the constructor of the subclass, last, as it is built on the actions handed to it. */
    protected Director module;

    /** Called first in every event that is passed on as it is. */
    protected abstract void begin(long at);

    /** Actions that go through to those that the layer itself was given. */
    protected abstract static class Through implements Actions {
        protected final Actions out;

        protected Through(Actions out) {
            this.out = out;
        }

        @Override
        public void send(String request, String server, long allow) {
            out.send(request, server, allow);
        }

        @Override
        public void refuse(String request, long comeBack) {
            out.refuse(request, comeBack);
        }

        @Override
        public void fail(String request) {
            out.fail(request);
        }

        @Override
        public void rate(String request, int rung) {
            out.rate(request, rung);
        }

        @Override
        public void move(String request) {
            out.move(request);
        }

        @Override
        public void probe(String server) {
            out.probe(server);
        }

        @Override
        public void tell(byte[] message) {
            out.tell(message);
        }

        @Override
        public void timer(String key, long at) {
            out.timer(key, at);
        }

        @Override
        public boolean mayTryAgain() {
            return out.mayTryAgain();
        }

        @Override
        public Pace pace(String server) {
            return out.pace(server);
        }

        @Override
        public double newcomers() {
            return out.newcomers();
        }

        @Override
        public boolean shunned(String server) {
            return out.shunned(server);
        }

        @Override
        public long comeBackUnit(String request) {
            return out.comeBackUnit(request);
        }
    }

    @Override
    public void request(long at, Request request) {
        begin(at);
        module.request(at, request);
    }

    @Override
    public void open(long at, Request request, String server) {
        begin(at);
        module.open(at, request, server);
    }

    @Override
    public void first(long at, String request, int attempt, String server) {
        begin(at);
        module.first(at, request, attempt, server);
    }

    @Override
    public void outcome(
            long at, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        begin(at);
        module.outcome(at, request, attempt, server, outcome, last, report);
    }

    @Override
    public void note(long at, String request, String server, Topic topic, double value) {
        begin(at);
        module.note(at, request, server, topic, value);
    }

    @Override
    public void gone(long at, String request) {
        begin(at);
        module.gone(at, request);
    }

    @Override
    public void members(long at, Scope scope, List<Server> servers) {
        begin(at);
        module.members(at, scope, servers);
    }

    @Override
    public void probed(long at, String server, boolean healthy, LoadReport report) {
        begin(at);
        module.probed(at, server, healthy, report);
    }

    @Override
    public void told(long at, int from, byte[] message) {
        begin(at);
        module.told(at, from, message);
    }

    @Override
    public void timer(long at, String key) {
        begin(at);
        module.timer(at, key);
    }

    @Override
    public void connected(long at) {
        begin(at);
        module.connected(at);
    }
}
