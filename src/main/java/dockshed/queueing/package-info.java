/**
 * Arithmetic behind the decisions: Erlang's loss formula and the payoff of quotas by it, counts within a sliding
 * window, weighted means, a search by bisection, and the estimate of how long sessions stay. Nothing is decided here.
 * No I/O, threads or clock: times are arguments, in microseconds of the caller's clock.
 */
package dockshed.queueing;
