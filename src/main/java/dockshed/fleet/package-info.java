/**
 * State shared by the brokers of one tier: membership, replicated entries, leased shares of common capacity, a
 * load-shedding threshold, and turns at probing edge servers.
 *
 * <p>{@link dockshed.fleet.GossipNode} and everything it uses are free of I/O: state machines that take the time
 * (microseconds of the process's own clock, which never goes back), messages and random numbers as arguments, and
 * return datagrams and an immutable {@link dockshed.fleet.FleetSnapshot}. They have no thread, socket, clock or logger.
 * {@link dockshed.fleet.FleetHost} runs a node on one event loop with a thread of its own.
 *
 * <p>The package does not call the broker, the fronts or the connections to edge servers: it is notified of what
 * happens there by {@link dockshed.fleet.LocalEvent} through one bounded queue. What a peer sends can make a broker
 * more careful within the bounds named here, or divide what is allowed; it never permits what a rule forbids. Sources:
 * SWIM (Das et al., 2002), Lifeguard (Dadgar et al., 2017), anti-entropy (Demers et al., 1987), leases (Gray and
 * Cheriton, 1989), rendezvous hashing (Thaler and Ravishankar, 1998).
 */
package dockshed.fleet;
