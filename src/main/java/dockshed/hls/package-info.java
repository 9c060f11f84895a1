/**
 * The HLS front, playlists rewritten for each session, and edge servers that serve HLS over HTTP.
 */
package dockshed.hls;
