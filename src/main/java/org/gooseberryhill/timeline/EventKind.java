package org.gooseberryhill.timeline;

/** The kind of an event. Immutable; wire names are a stable part of the line format. */
public enum EventKind {
    /** The process started to serve. */
    PROCESS_STARTED("process.started", Importance.STATE),
    /** A planned stop was requested. */
    PROCESS_STOPPING("process.stopping", Importance.STATE),
    /** The process is about to exit. */
    PROCESS_ENDED("process.ended", Importance.STATE),
    /** The settings were reloaded. */
    SETTINGS_RELOADED("settings.reloaded", Importance.STATE),
    /** The settings could not be reloaded; the previous ones stay in force. */
    SETTINGS_REJECTED("settings.rejected", Importance.FAILURE),
    /** The readiness that the host reports to the load balancer changed. */
    READINESS_CHANGED("readiness.changed", Importance.STATE),
    /** A thread was delayed: it got no CPU time, the process was suspended, or one task ran for too long. */
    PROCESS_DELAYED("process.delayed", Importance.STATE),
    /** Connections beyond the limits, or requests that arrived too slowly, were rejected. */
    CONNECTIONS_REJECTED("connections.rejected", Importance.STATE),
    /** The bytes held for slow readers reached another level, or requests were refused or connections closed because of them. */
    HELD_BYTES("held.bytes", Importance.STATE),
    /** Events were dropped by the rate limit. */
    LINES_DROPPED("lines.dropped", Importance.STATE),

    /** A host stored a copy of a submission on its disk. */
    SUBMISSION_KEPT("submission.kept", Importance.ROUTINE),
    /**
     * A host with a copy of a submission on its disk created the record of the batch in the key-value store, or found
     * it there.
     */
    SUBMISSION_RECORDED("submission.recorded", Importance.STATE),
    /**
     * A copy of a submission on a host's disk is so old that the batch may have been finished and deleted: the host
     * deletes the copy without creating the record of the batch.
     */
    SUBMISSION_EXPIRED("submission.expired", Importance.FAILURE),
    /** A disk operation failed. */
    DISK_FAILED("disk.failed", Importance.FAILURE),

    /** A request was sent to an endpoint. */
    ATTEMPT_SENT("attempt.sent", Importance.ROUTINE),
    /** An attempt ended without a complete answer. */
    ATTEMPT_FAILED("attempt.failed", Importance.FAILURE),
    /** A request received an endpoint's complete answer, or its caller disconnected. */
    REQUEST_ENDED("request.ended", Importance.ROUTINE),
    /** A request received no answer from any endpoint. */
    REQUEST_FAILED("request.failed", Importance.FAILURE),
    /** A request was refused before dispatch. */
    REQUEST_REFUSED("request.refused", Importance.FAILURE),

    /** The membership state of a host changed. */
    MEMBERSHIP_CHANGED("membership.changed", Importance.STATE),
    /** No message was received from a host for too long. */
    PEER_SILENT("peer.silent", Importance.STATE),
    /** No coordinator told in time whether a client account's quota allows a request. */
    ADMISSION_UNANSWERED("admission.unanswered", Importance.STATE),
    /** Slots of a service are contended, and an account asks for more than its share. */
    SHARES_EXCEEDED("shares.exceeded", Importance.STATE),
    /** The slots of a service are not contended any more. */
    SHARES_KEPT("shares.kept", Importance.STATE),
    /** The coordinator of a group of endpoints did not answer in time. */
    COORDINATOR_UNANSWERED("coordinator.unanswered", Importance.STATE),
    /** A coordinator starts sending requests to endpoints of another zone. */
    ZONE_SENDING_STARTED("zone.sending-started", Importance.STATE),
    /** A coordinator has sent no request to endpoints of another zone for a while. */
    ZONE_SENDING_ENDED("zone.sending-ended", Importance.STATE),
    /** The record of software versions was not written; the host tries again. */
    VERSION_RECORD_UNWRITTEN("version-record.unwritten", Importance.STATE),
    /** The record of software versions in the key-value store can't be decoded. */
    VERSION_RECORD_INVALID("version-record.invalid", Importance.FAILURE),
    /** The version that began a stream is not certain, so that the host does not continue it. */
    STREAM_ORIGIN_UNKNOWN("stream.origin-unknown", Importance.FAILURE),
    /** A message was received from a host for the first time, or again after a silence. */
    PEER_HEARD("peer.heard", Importance.STATE),
    /** A configuration took effect. */
    CONFIGURATION_IN_FORCE("configuration.in-force", Importance.STATE),
    /** A configuration was rejected as invalid. */
    CONFIGURATION_INVALID("configuration.invalid", Importance.FAILURE),
    /** The set of usable endpoints changed. */
    DIRECTORY_CHANGED("directory.changed", Importance.STATE),
    /** A registration does not describe a usable endpoint. */
    REGISTRATION_INVALID("registration.invalid", Importance.FAILURE),
    /** Applying a change in the key-value store threw an exception; the other changes are applied. */
    CHANGE_NOT_APPLIED("change.not-applied", Importance.FAILURE),
    /** A view of the key-value store was reloaded in full. */
    VIEW_LISTED("view.listed", Importance.STATE),
    /** The key-value store stopped answering this host. */
    STORE_LOST("store.lost", Importance.STATE),
    /** The key-value store answers this host again. */
    STORE_REGAINED("store.regained", Importance.STATE),
    /** A call for the changes of a view was not answered. */
    VIEW_UNANSWERED("view.unanswered", Importance.FAILURE),
    /** A call to grant or renew this host's lease was not answered. */
    LEASE_UNANSWERED("lease.unanswered", Importance.FAILURE),
    /** A lease was granted. */
    LEASE_GRANTED("lease.granted", Importance.STATE),
    /** A lease was lost or expired. */
    LEASE_LOST("lease.lost", Importance.STATE),
    /** An endpoint was temporarily excluded from routing, or included again. */
    ENDPOINT_HEALTH("endpoint.health", Importance.STATE),
    /** An endpoint has become slow, usual or fast compared with the others of its service. */
    ENDPOINT_SPEED("endpoint.speed", Importance.STATE),
    /** A connection was made to an endpoint whose connections were lost, to see whether it has crashed. */
    ENDPOINT_CHECKED("endpoint.checked", Importance.STATE),
    /** An endpoint crashed with requests in flight. */
    ENDPOINT_CRASHED("endpoint.crashed", Importance.FAILURE),
    /** Requests with a part of a prompt are refused, since it crashes endpoints. */
    PROMPT_PART_BLOCKED("prompt-part.blocked", Importance.FAILURE),
    /** Requests with a part of a prompt are not refused any more, since one was served or an operator says so. */
    PROMPT_PART_SERVED("prompt-part.served", Importance.STATE),
    /** The record of blocked parts of prompts was not written; the host tries again. */
    QUARANTINE_RECORD_UNWRITTEN("quarantine-record.unwritten", Importance.STATE),
    /** The record of blocked parts of prompts in the key-value store can't be decoded. */
    QUARANTINE_RECORD_INVALID("quarantine-record.invalid", Importance.FAILURE),
    /** The platform was notified that a host with a disk is empty. */
    HOST_EVACUATED("host.evacuated", Importance.STATE),
    /** An order was sent to an endpoint. */
    ORDER_SENT("order.sent", Importance.STATE),
    /** An order ended. */
    ORDER_ENDED("order.ended", Importance.STATE),

    /** A job was accepted. */
    JOB_ACCEPTED("job.accepted", Importance.STATE),
    /** A job was cancelled. */
    JOB_CANCELLED("job.cancelled", Importance.STATE),
    /** A host became the owner of a job. */
    JOB_OWNED("job.owned", Importance.STATE),
    /** A host is no longer the owner of a job. */
    JOB_STOPPED("job.stopped", Importance.STATE),
    /** All items of a job are complete. */
    JOB_DONE("job.done", Importance.STATE),
    /** A chunk of a job was committed. */
    CHUNK_COMMITTED("chunk.committed", Importance.ROUTINE),
    /** A steward reported the result of an item's run. */
    ITEM_REPORTED("item.reported", Importance.ROUTINE),
    /** A segment was copied to another store. */
    SEGMENT_COPIED("segment.copied", Importance.ROUTINE),

    /** A request batch was accepted. */
    BATCH_ACCEPTED("batch.accepted", Importance.STATE),
    /** A call about a request batch was refused. */
    BATCH_REFUSED("batch.refused", Importance.FAILURE),
    /** Results of a request batch were committed. */
    BATCH_COMMITTED("batch.committed", Importance.ROUTINE),
    /** A refused write for a request batch was compared with the record in the store, to see whether it had taken effect before. */
    BATCH_WRITE_READ_BACK("batch.write-read-back", Importance.STATE),
    /** The record of a request batch that was accepted without one was found or created. */
    BATCH_RECORDED("batch.recorded", Importance.STATE),
    /** A page with results of a request batch was sent to a caller. */
    BATCH_PAGE_SERVED("batch.page-served", Importance.ROUTINE),
    /** A write for a request batch was not answered; it is retried. */
    BATCH_WRITE_UNANSWERED("batch.write-unanswered", Importance.FAILURE),
    /** The key-value store refused a write for a request batch as invalid; it is not repeated unchanged. */
    BATCH_WRITE_REJECTED("batch.write-rejected", Importance.FAILURE),
    /** The key-value store refused results of a request batch as invalid; they are written in smaller parts, or later. */
    BATCH_COMMIT_REJECTED("batch.commit-rejected", Importance.FAILURE),
    /** The caller ended a request batch. */
    BATCH_ENDED("batch.ended", Importance.STATE),
    /** This process found that a request batch was ended or that another process owns it. */
    BATCH_LOST("batch.lost", Importance.STATE),
    /** A request batch was offered to another host. */
    BATCH_HANDED_OVER("batch.handed-over", Importance.STATE),
    /** This host became the owner of a request batch that another host had owned. */
    BATCH_TAKEN_OVER("batch.taken-over", Importance.STATE),
    /** A request batch that was read from the store is not used, since this host has accepted or loaded it meanwhile. */
    BATCH_LOAD_UNUSED("batch.load-unused", Importance.STATE),
    /** A request batch could not be read from the store. */
    BATCH_LOAD_FAILED("batch.load-failed", Importance.FAILURE),
    /** A finished request batch was deleted after the retention period of its results. */
    BATCH_DELETED("batch.deleted", Importance.STATE),
    /** A run of an item began. */
    ITEM_STARTED("item.started", Importance.ROUTINE),
    /** A run of an item ended with its output, or was preempted. */
    ITEM_RUN_ENDED("item.run-ended", Importance.ROUTINE),
    /** A run of an item failed. */
    ITEM_RUN_FAILED("item.run-failed", Importance.FAILURE),
    /** Items were abandoned; they are not run again. */
    ITEM_GIVEN_UP("item.given-up", Importance.FAILURE);

    private final String wireName;
    private final Importance importance;

    EventKind(String wireName, Importance importance) {
        this.wireName = wireName;
        this.importance = importance;
    }

    /** Returns the name of the kind in a line. */
    public String wireName() {
        return wireName;
    }

    /** Returns the importance, which determines the rate limit. */
    public Importance importance() {
        return importance;
    }
}
