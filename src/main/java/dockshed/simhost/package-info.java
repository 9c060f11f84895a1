/**
 * Hosts the decision module behind the simulator's wire protocol on standard input and output.
 */
package dockshed.simhost;
