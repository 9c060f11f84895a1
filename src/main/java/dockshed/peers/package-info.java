/**
 * UDP datagrams between brokers; does not know their contents.
 */
package dockshed.peers;
