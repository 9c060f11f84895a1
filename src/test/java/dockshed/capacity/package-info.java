/**
 * Capacity measurements. Benchmarks measure what one more connection, delivery, set-up or broker costs, fit a line to the
 * cost and write the figures to CSV files under {@code docs/capacity}. The rows of the capacity page
 * {@code docs/CAPACITY.md} are computed from these files, and the page is checked against them.
 */
package dockshed.capacity;
