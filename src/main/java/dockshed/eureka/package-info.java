/**
 * The list of edge servers from a Eureka registry: full fetches, deltas and their hash code.
 */
package dockshed.eureka;
