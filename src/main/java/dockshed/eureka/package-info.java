/**
 * The list of edge servers from a Eureka registry: full lists, deltas and their hash code.
 */
package dockshed.eureka;
