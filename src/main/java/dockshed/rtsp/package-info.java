/**
 * The RTSP front: client connections, requests and answers. It owns no rule; the core decides.
 */
package dockshed.rtsp;
