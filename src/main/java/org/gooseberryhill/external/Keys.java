package org.gooseberryhill.external;

import org.gooseberryhill.contract.JobKey;

/** The names of the keys that the system keeps in the key-value service. Stateless. */
public final class Keys {
    /** The operators' text with its author. */
    public static final String CONFIGURATION = "/gooseberry/configuration";

    /** Earlier texts, one key an edit. */
    public static final String HISTORY = "/gooseberry/history/";

    /** An index of the jobs that are not finished. */
    public static final String OPEN_JOBS = "/gooseberry/open/";

    private static final String JOBS = "/gooseberry/jobs/";
    private static final String OWNERS = "/gooseberry/owners/";
    private static final String CHUNKS = "/gooseberry/chunks/";
    private static final String CALLS = "/gooseberry/calls/";
    private static final String ENDPOINTS = "/gooseberry/endpoints/";
    private static final String LOADS = "/gooseberry/loads/";

    private Keys() {}

    /** A job's record. */
    public static String job(JobKey job) {
        return JOBS + job.path();
    }

    /** A job's entry in the index of open jobs. */
    public static String openJob(JobKey job) {
        return OPEN_JOBS + job.path();
    }

    /** The claim of a job's owner. */
    public static String owner(JobKey job) {
        return OWNERS + job.path();
    }

    /** The prefix of a job's finished chunks. */
    public static String chunks(JobKey job) {
        return CHUNKS + job.path() + "/";
    }

    /** A finished chunk; numbers sort as text. */
    public static String chunk(JobKey job, int chunk) {
        return chunks(job) + "%06d".formatted(chunk);
    }

    /** The claim of a call that may not be repeated. */
    public static String call(String caller, String idempotencyKeyHash) {
        return CALLS + caller + "/" + idempotencyKeyHash;
    }

    /** The claim of an endpoint's order giver. */
    public static String endpoint(String endpoint) {
        return ENDPOINTS + endpoint;
    }

    /** One of the places for model loads in progress. */
    public static String load(int place) {
        return LOADS + place;
    }
}
