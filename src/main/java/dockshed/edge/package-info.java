/**
 * Connections to edge servers that speak JSON lines: connection pooling, set-ups and their cancellation, load reports,
 * and detection of servers that are gone.
 */
package dockshed.edge;
