/**
 * Retry storm control: detects retry storms, limits their load and advises every refused viewer of a time to return. It
 * holds the storm detector, the calendar of return times, the history of viewers' requests, the admission queue, the retry
 * budget and the limiter for freshly started edge servers. {@link dockshed.storm.RetryStormFilter} is a
 * {@link dockshed.Director} between the broker's core and the decision module; the other classes don't depend on the broker
 * either.
 *
 * <p>It may hold a request that the module has not received yet for a bounded time, and may refuse a request that was never
 * sent to an edge server. It must not choose a server, change a rendition, delay an answer of the module, do I/O, read a
 * clock, or draw random numbers other than from the seed that it is given.
 */
package dockshed.storm;
