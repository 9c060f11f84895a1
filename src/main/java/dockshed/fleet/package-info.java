/**
 * What the brokers of one tier share: who is there, rows of state that each owns, shares of what all may use together,
 * the rank under which all refuse, and which one of them finds out about a box.
 *
 * <p>Everything but {@link dockshed.fleet.FleetHost} is the heart: state machines that take the time (microseconds of the
 * process's own clock, which never goes back), messages and random numbers as arguments, and hand out datagrams and an
 * immutable {@link dockshed.fleet.View}. The heart has no thread, socket, clock or log. {@code FleetHost} ties it to one
 * event loop on one thread of its own.
 *
 * <p>The package may not touch the broker, the fronts or the boxes: it is told what happens there by {@link
 * dockshed.fleet.News} through one bounded queue. A peer's word may make a broker more careful within the bounds named
 * here, or share out what is allowed; it never allows what a rule forbids. Sources: SWIM (Das et al., 2002), Lifeguard
 * (Dadgar et al., 2017), anti-entropy (Demers et al., 1987), leases (Gray and Cheriton, 1989), rendezvous hashing (Thaler
 * and Ravishankar, 1998).
 */
package dockshed.fleet;
