/**
 * The list of edge servers from the configuration and from DNS: queries, changes, and change notices.
 */
package dockshed.names;
