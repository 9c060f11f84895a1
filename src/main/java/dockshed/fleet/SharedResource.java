package dockshed.fleet;

/** Resources that the brokers of a fleet use together and divide by leases. The order is that of the wire. */
enum SharedResource {
    /** Each edge server's capacity and cold-start rate for new sessions. */
    NEW_SESSIONS,
    /** Retries of requests. */
    RETRIES
}
