/**
 * The scale benchmark, started by {@code bench/scale.sh}. It runs a script of fault scenes on a fleet of processes on
 * loopback sockets, runs the same script on the simulated network, and compares the two. The processes are real brokers
 * (the built jar) and hollow brokers, which run only the control code and serve no viewers. The simulation is called the
 * twin on the command line and in the output.
 */
package dockshed.scale;
