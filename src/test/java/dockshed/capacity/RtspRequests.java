package dockshed.capacity;

import dockshed.net.HttpStyleMessage;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Messages of an RTSP viewer, encoded. */
final class RtspRequests {

    private static final byte[] DESCRIPTION = "v=0\r\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] EMPTY_BODY = new byte[0];

    private RtspRequests() {}

    /** An OPTIONS request, which is answered at once; afterwards the connection may stay open and idle. */
    static byte[] options() {
        return HttpStyleMessage.encode("OPTIONS rtsp://media/ping RTSP/1.0", Map.of("CSeq", "3"), EMPTY_BODY);
    }

    /** A SETUP request for a lesson, with the name of the session. */
    static byte[] setup(String session) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("CSeq", "1");
        headers.put("Session", session);
        headers.put("Priority-Class", TestbedFiles.SESSION_CLASS);
        headers.put("Expires-Ms", "4000");
        headers.put("P-Trunk-Info", "home:0;copies:3;top:2;viewer:" + session);
        return HttpStyleMessage.encode("SETUP rtsp://media/lesson RTSP/1.0", headers, DESCRIPTION);
    }

    /** The answer to the broker's TEARDOWN of a session. */
    static byte[] teardownAnswer(String session) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("CSeq", "2");
        headers.put("Session", session);
        return HttpStyleMessage.encode("RTSP/1.0 200 OK", headers, EMPTY_BODY);
    }
}
