/**
 * Where the brokers of a fleet stand: zones and regions as the operator names them, and the scopes within which brokers
 * gossip in full. Values only: no I/O, no clock, no state that changes.
 */
package dockshed.topology;
