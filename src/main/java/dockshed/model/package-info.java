/**
 * State of the decision module: requests and sessions, edge servers and racks, the load of their links between two
 * readings, and what renditions use and earn. It keeps accounts and decides nothing: every decision, and every constant
 * that one depends on, is in {@code dockshed.choice}. No I/O, threads or clock; rates are in kB/s, times in
 * microseconds of the caller's clock.
 */
package dockshed.model;
