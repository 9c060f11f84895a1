/**
 * UDP datagrams between brokers, without any knowledge of their contents.
 */
package dockshed.peers;
