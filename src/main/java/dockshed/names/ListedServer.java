package dockshed.names;

import dockshed.Director.Server;
import java.net.InetSocketAddress;

/** An edge server of the list and the address that it listens on. */
public record ListedServer(Server server, InetSocketAddress address) {}
