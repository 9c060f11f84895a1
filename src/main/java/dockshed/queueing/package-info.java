/**
 * Arithmetic that decisions are reckoned with, and that decides nothing itself: Erlang's loss formula and the payoff of
 * quotas by it, counts within a sliding window, the load of a link between two readings, and how long sessions stay.
 * No I/O, thread or clock: times come in as arguments, in microseconds of the caller's clock.
 */
package dockshed.queueing;
