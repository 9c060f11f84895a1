package dockshed.names;

import dockshed.Director.State;
import dockshed.names.Dns.Record;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What is known of an edge server by its DNS records, and which of it holds where lists are cut off or outdated. Performs
 * no I/O; times are in microseconds.
 */
final class ServerRecords {
    /** Stands for the serial number of a list that was cut off before it. */
    static final long UNKNOWN_SERIAL = Long.MIN_VALUE;
    /**
     * For this long no whole list revokes what one without its serial number told: that may have held a later event than
     * those that are still on their way.
     */
    static final long HOLD_US = DnsDiscovery.LATE_ANSWER_LIMIT_US;

    private static final Logger LOG = LoggerFactory.getLogger(ServerRecords.class);

    private Record service;
    private Record address; // null: not known
    private ServerAttributes attributes; // null: not known
    private long attributesSerial = UNKNOWN_SERIAL; // of the newest list known when the attributes were asked for
    private Record faultyText; // logged already
    private boolean mayBeOutdated; // the serial number of the list that the SRV record is from was cut off
    private boolean confirmed; // named by the configuration, or by a list with a serial number
    private boolean drainConfirmed; // by the newest list with a serial number that named the server
    private long heldUntil; // a list without a serial number told of the server, and none with one had
    private long drainHeldUntil; // a list without a serial number told that the server drains
    private long namedBySerial = UNKNOWN_SERIAL; // of the newest list known to name it
    private boolean textAskedFor; // since the list has its serial number

    /** Creates the records of a server; {@code listed}: it is on the list already. */
    ServerRecords(boolean listed) {
        confirmed = listed;
    }

    String name() {
        return service.target();
    }

    boolean hasAddress() {
        return address != null;
    }

    boolean hasAttributes() {
        return attributes != null;
    }

    /** A list with another serial number has come: the TXT record may be asked for again. */
    void listChanged() {
        textAskedFor = false;
    }

    /** Marks the TXT record as asked for; returns whether it was not before. */
    boolean markTextAskedFor() {
        boolean first = !textAskedFor;
        textAskedFor = true;
        return first;
    }

    /** Whether the list with this serial number names the server. */
    boolean isNamedBy(long serial) {
        return namedBySerial == serial;
    }

    /** Whether the server stays although a whole list does not name it. */
    boolean isHeld(long now) {
        return heldUntil > now;
    }

    /** Whether the server drains although a whole list does not say so. */
    boolean isDrainHeld(long now) {
        return drainHeldUntil > now;
    }

    /** Takes over the SRV record from a list with this serial number, which may be unknown. */
    void applyService(Record record, long serial, long now) {
        boolean drains = record.priority() != 0;
        service = record;
        mayBeOutdated = serial == UNKNOWN_SERIAL;
        if (mayBeOutdated) {
            heldUntil = confirmed ? 0 : now + HOLD_US;
            drainHeldUntil = drains ? now + HOLD_US : drainHeldUntil;
            return;
        }
        namedBySerial = serial;
        confirmed = true;
        drainConfirmed = drains;
        heldUntil = 0;
        drainHeldUntil = drains ? 0 : drainHeldUntil;
    }

    /** Takes over the A record; null leaves the address as it is. */
    void applyAddress(Record record) {
        address = record == null ? address : record;
    }

    /** Whether the attributes were asked for when a later list than that of this serial number was known. */
    boolean isAskedLater(long listSerial) {
        return listSerial < attributesSerial;
    }

    /**
     * Takes over what a TXT record tells, which is no older than the list of the serial number. Returns false if it is
     * faulty, or does not tell the cell of a server that is not listed: nothing may be sent to one without a cell.
     */
    boolean applyText(Record text, long listSerial, boolean listed) {
        try {
            ServerAttributes told = ServerAttributes.parse(text);
            if (told.cell() == null && !listed) {
                throw new Dns.MalformedMessageException("expected a cell in the TXT record of " + text.name());
            }
            attributes = told;
            attributesSerial = listSerial;
            return true;
        } catch (Dns.MalformedMessageException e) {
            if (!text.equals(faultyText)) {
                LOG.warn("TXT record of edge server not usable: why={}", e.getMessage());
            }
            faultyText = text;
            return false;
        }
    }

    /** The server that the records describe, listed as {@code known} or not at all; null while required records are missing. */
    ListedServer toListedServer(ListedServer known, long now) {
        if (known == null && (address == null || attributes == null)) {
            return null;
        }
        ListedServer listed = EdgeServerList.toListedServer(service, address, attributes, known);
        return drains(known, now) ? listed.withState(State.DRAINING) : listed;
    }

    /** Whether the server drains, whatever its SRV record says: an outdated list revokes no drain. */
    private boolean drains(ListedServer known, long now) {
        boolean wasDraining = known != null && known.server().state() == State.DRAINING;
        return isDrainHeld(now) || mayBeOutdated && (wasDraining || drainConfirmed);
    }
}
