/**
 * Capacity measurements. Benchmarks measure what one more connection, delivery, set-up or broker costs, fit a line to the
 * cost and write the figures to CSV files under {@code docs/capacity}. The capacity page {@code docs/CAPACITY.md} computes
 * its rows from these files, and is checked against them.
 */
package dockshed.capacity;
