/**
 * The event loop and its sockets, the clock, signals and graceful shutdown, and the decoder of messages in the format
 * that RTSP and HTTP share.
 */
package dockshed.net;
