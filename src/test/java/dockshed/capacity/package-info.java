/**
 * Capacity measurements: what one more connection, delivery, set-up or broker costs, fitted to a line
 * and kept as CSV files under {@code docs/capacity}.
 */
package dockshed.capacity;
