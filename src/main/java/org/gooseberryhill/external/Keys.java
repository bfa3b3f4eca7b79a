package org.gooseberryhill.external;

import org.gooseberryhill.contract.JobKey;

/** Defines the keys that the system uses in the key-value store. Stateless. */
public final class Keys {
    /** Key of the configuration text with its author. */
    public static final String CONFIGURATION = "/gooseberry/configuration";

    /** Prefix of earlier configuration texts, one key per edit. */
    public static final String HISTORY = "/gooseberry/history/";

    /** Prefix of the index of unfinished jobs. */
    public static final String OPEN_JOBS = "/gooseberry/open/";

    private static final String JOBS = "/gooseberry/jobs/";
    private static final String OWNERS = "/gooseberry/owners/";
    private static final String CHUNKS = "/gooseberry/chunks/";
    private static final String CALLS = "/gooseberry/calls/";
    private static final String ENDPOINTS = "/gooseberry/endpoints/";
    private static final String LOADS = "/gooseberry/loads/";

    private Keys() {}

    /** Returns the key of a job's record. */
    public static String job(JobKey job) {
        return JOBS + job.path();
    }

    /** Returns the key of a job's entry in the index of unfinished jobs. */
    public static String openJob(JobKey job) {
        return OPEN_JOBS + job.path();
    }

    /** Returns the key of the claim by which a host owns a job. */
    public static String jobClaim(JobKey job) {
        return OWNERS + job.path();
    }

    /** Returns the prefix of a job's finished chunks. */
    public static String chunks(JobKey job) {
        return CHUNKS + job.path() + "/";
    }

    /** Returns the key of a finished chunk; the number is zero-padded, so that keys sort by number. */
    public static String chunk(JobKey job, int chunk) {
        return chunks(job) + "%06d".formatted(chunk);
    }

    /** Returns the key of the claim of a call with an idempotency key, which must not run twice. */
    public static String idempotencyClaim(String caller, String idempotencyKeyHash) {
        return CALLS + caller + "/" + idempotencyKeyHash;
    }

    /** Returns the key of the claim by which a host may send orders to an endpoint. */
    public static String endpointClaim(String endpoint) {
        return ENDPOINTS + endpoint;
    }

    /** Returns the key of one of the slots that limit concurrent model loads. */
    public static String loadSlot(int index) {
        return LOADS + index;
    }
}
