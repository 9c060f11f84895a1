/**
 * The broker without I/O: sessions, attempts, outcomes, deadlines, and the rules that hold whatever the module decides.
 *
 * <p>Time is an argument everywhere. Fronts and server adapters are reached through the interfaces of this package.
 */
package dockshed.core;
