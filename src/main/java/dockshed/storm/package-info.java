/**
 * Retry storms: notices them, damps them, and gives every refused viewer a time to return. Owns the watch over arrivals,
 * the calendar of returns, what is remembered of viewers, the room of those that wait, the budget of further attempts
 * and the pace of freshly started boxes. Stands between the core and the decision module as a
 * {@link dockshed.Director} of its own ({@link dockshed.storm.Damper}); the rest is free of the broker, too.
 *
 * <p>It may hold a request that the module has not been given yet, for a bounded time, and may refuse one that never
 * went out. It may not pick a server, change a rung, hold back an answer of the module's, do I/O, read a clock or draw
 * random numbers but from the seed that it is handed.
 */
package dockshed.storm;
