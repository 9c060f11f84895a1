/**
 * The event loop, clock, signals, graceful shutdown, and the message decoder that RTSP and HTTP share.
 */
package dockshed.net;
