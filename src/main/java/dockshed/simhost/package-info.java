/** Runs the decision module for the simulator, over its JSON protocol on standard input and output. */
package dockshed.simhost;
