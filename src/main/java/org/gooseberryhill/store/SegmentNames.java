package org.gooseberryhill.store;

import java.util.List;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.host.Host;

/** Builds the names of segments and selects the stores that hold them. Stateless. */
public final class SegmentNames {
    /** Number of copies of each segment, in different availability zones if there are enough of them. */
    public static final int COPIES = 2;

    private static final int HASH_CHARACTERS = 32;

    private SegmentNames() {}

    /**
     * Returns the name of the segment that holds the items of a chunk. The hash of the content distinguishes different
     * bodies submitted under one job id.
     */
    public static String itemsName(JobKey job, int chunk, byte[] content) {
        return "items." + job.caller() + "." + job.id() + "." + chunk + "." + hash(content);
    }

    /**
     * Returns the name of the segment that holds the results of a chunk. The fencing token distinguishes the results of
     * different owners.
     */
    public static String resultsName(JobKey job, int chunk, long fence, byte[] content) {
        return "results." + job.caller() + "." + job.id() + "." + chunk + "." + fence + "." + hash(content);
    }

    /** Returns the stores that should hold a segment; hosts with the same list of stores select the same ones. */
    public static List<Host> placement(String name, List<Host> stores) {
        List<Host> remaining = stores.stream().filter(host -> !host.leaving()).toList();
        return Ownership.copyHolders(name, COPIES, remaining.isEmpty() ? stores : remaining);
    }

    /** Returns whether a content matches the hash in the name of its segment. */
    public static boolean matchesHash(String name, byte[] content) {
        return name.substring(name.lastIndexOf('.') + 1).equals(hash(content));
    }

    private static String hash(byte[] content) {
        return Fingerprint.sha256Hex(content).substring(0, HASH_CHARACTERS);
    }
}
