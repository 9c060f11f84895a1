/**
 * The load of edge servers that do not report it. Tracks the demand of this broker's own sessions on such servers, and
 * the load that a server states in the header of its responses (ORCA's {@code endpoint-load-metrics}). The estimate
 * performs no I/O and takes the time as an argument; {@link dockshed.load.LoadReporter} connects it to the broker. This
 * package decides nothing: it only reports loads to the module and never keeps a session off a server.
 */
package dockshed.load;
