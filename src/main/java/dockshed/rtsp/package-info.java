/**
 * The RTSP front: viewers' connections, their requests and the answers. It takes no decisions; the core does.
 */
package dockshed.rtsp;
