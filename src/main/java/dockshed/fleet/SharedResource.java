package dockshed.fleet;

/** What the brokers of a fleet may use together, and divide by leases. The order is that of the wire. */
enum SharedResource {
    /** Each edge server's room and cold pace for new sessions. */
    NEW_SESSIONS,
    /** Retries of requests. */
    RETRIES
}
