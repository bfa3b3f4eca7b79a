package org.gooseberryhill.store;

import java.util.List;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.host.Host;

/** Names segments, and says which stores shall hold them. Stateless. */
public final class SegmentNames {
    /** Copies of each segment, in different availability zones while there are enough of them. */
    public static final int COPIES = 2;

    private static final int HASH_CHARACTERS = 32;

    private SegmentNames() {}

    /** The segment with the items of a chunk; the content's hash keeps two bodies under one id apart. */
    public static String items(JobKey job, int chunk, byte[] content) {
        return "items." + job.caller() + "." + job.id() + "." + chunk + "." + hash(content);
    }

    /** The segment with the results of a chunk; the fence keeps two owners' results apart. */
    public static String results(JobKey job, int chunk, long fence, byte[] content) {
        return "results." + job.caller() + "." + job.id() + "." + chunk + "." + fence + "." + hash(content);
    }

    /** The stores that shall hold a segment, worked out alike on every host. */
    public static List<Host> placement(String name, List<Host> stores) {
        List<Host> staying = stores.stream().filter(host -> !host.leaving()).toList();
        return Ownership.copies(name, COPIES, staying.isEmpty() ? stores : staying);
    }

    /** Whether a content fits the hash in its segment's name. */
    public static boolean fits(String name, byte[] content) {
        return name.substring(name.lastIndexOf('.') + 1).equals(hash(content));
    }

    private static String hash(byte[] content) {
        return Fingerprint.sha256Hex(content).substring(0, HASH_CHARACTERS);
    }
}
