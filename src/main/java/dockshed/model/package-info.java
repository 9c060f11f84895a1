/**
 * What the decision module knows: requests and sessions, edge servers and racks, the load of their links between two
 * readings, and what renditions ask and earn. Keeps the accounts and decides nothing: whatever is a choice, and each
 * figure that one is made by, is in {@code dockshed.choice}. No I/O, thread or clock; rates are in kB a second, times
 * in microseconds of the caller's clock.
 */
package dockshed.model;
