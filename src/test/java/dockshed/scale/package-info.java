/**
 * The scale run: real brokers beside hollow ones, which run the control code alone, on loopback sockets; the same script of
 * scenes on the simulated network; and the comparison of both. Measurements only: {@code bench/scale.sh} starts it.
 */
package dockshed.scale;
