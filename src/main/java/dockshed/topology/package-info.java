/**
 * Location of the brokers of a fleet: zones and regions as the operator names them, and the scopes within which brokers
 * gossip in full. Values only: no I/O, no clock, no mutable state.
 */
package dockshed.topology;
