/**
 * What is asked of the links of boxes that do not report it. Owns the account of this broker's own sessions at such
 * boxes, and what a box says in the load header of its answers (ORCA's {@code endpoint-load-metrics}). The account is
 * free of I/O and takes the time as an argument; {@link dockshed.load.LoadTeller} ties it to the broker. It decides
 * nothing: it may only tell the module readings, never keep a session off a box.
 */
package dockshed.load;
