package dockshed.names;

import dockshed.Director.Server;
import dockshed.Director.State;
import java.net.InetSocketAddress;

/** An edge server of the list and the address that it listens on. */
public record ListedServer(Server server, InetSocketAddress address) {
    /** The same server in another state. */
    public ListedServer withState(State newState) {
        return new ListedServer(server.withState(newState), address);
    }
}
