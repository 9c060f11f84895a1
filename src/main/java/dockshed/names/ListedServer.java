package dockshed.names;

import dockshed.Director.Server;
import java.net.InetSocketAddress;

/** A server of the list and where it listens. */
public record ListedServer(Server server, InetSocketAddress address) {}
