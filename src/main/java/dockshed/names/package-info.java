/**
 * The list of edge servers from the configuration and from DNS: queries, answers, and the changes that they make.
 */
package dockshed.names;
