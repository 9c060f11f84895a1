/**
 * The HLS front for viewers, the playlists rewritten for each session, and the adapter for HTTP edge servers.
 */
package dockshed.hls;
