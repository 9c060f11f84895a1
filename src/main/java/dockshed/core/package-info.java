/**
 * The broker without I/O: sessions, attempts, outcomes, timers, and the rules that it enforces on the decision module.
 *
 * <p>The current time is passed as an argument. Fronts and server adapters implement interfaces of this package.
 */
package dockshed.core;
