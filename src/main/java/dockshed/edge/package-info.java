/**
 * Connections to edge servers that speak JSON lines: pooling, set-ups, cancellation, and load reports.
 */
package dockshed.edge;
