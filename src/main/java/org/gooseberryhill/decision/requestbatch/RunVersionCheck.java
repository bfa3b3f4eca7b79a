package org.gooseberryhill.decision.requestbatch;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointEntry;

/**
 * Decides whether the output of a run is of the version that its endpoint was registered with when the run started. Not
 * thread-safe.
 *
 * <p>Guards against an endpoint that was replaced under its id by one of other software before this host learned of it: nothing in
 * its answer names its version. The output is of the registered version only once the directory is known to be later than the
 * first event, and the endpoint was registered with no other version meanwhile. Without a later directory the registered version
 * is believed after a while, since results are due also while the directory can't be read.
 *
 * <p>Invariant: once the output is found to be of the version, later registrations don't change that: a connection ends
 * with its endpoint.
 */
public final class RunVersionCheck {
    /**
     * How much later than the first event the directory has to be: an endpoint may serve before its registration is written, and
     * what a host receives while it stands still seems newer than it is.
     */
    static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Several times what a host usually waits for a later directory. */
    static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** What a single wait counts at most, so that a host that stood still does not believe an old directory at once. */
    static final long MAX_COUNTED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** What is known of the output of the run. */
    public enum Finding {
        /** There is no output yet, or a later directory is needed. */
        UNKNOWN,
        /** The output is of the registered version. */
        SAME_VERSION,
        /** The output may be of another version. */
        OTHER_VERSION
    }

    private final EndpointEntry endpoint;
    private OptionalLong firstOutputNanos = OptionalLong.empty();
    private long lastAskedNanos;
    private long waitedNanos;
    private Finding finding = Finding.UNKNOWN;

    /** Creates a check of a run that starts at an endpoint with its present registration. */
    public RunVersionCheck(EndpointEntry endpoint) {
        this.endpoint = endpoint;
    }

    /** Records that there is output; only the first call counts. */
    public void outputSeen(long nowNanos) {
        if (firstOutputNanos.isEmpty()) {
            firstOutputNanos = OptionalLong.of(nowNanos);
            lastAskedNanos = nowNanos;
        }
    }

    /** Applies registrations that hold now or held since the run started. */
    public void endpointsChanged(Collection<EndpointEntry> entries) {
        boolean replaced = entries.stream()
                .anyMatch(entry -> entry.id().equals(endpoint.id())
                        && !entry.serviceVersion().equals(endpoint.serviceVersion()));
        if (replaced && finding == Finding.UNKNOWN) {
            finding = Finding.OTHER_VERSION;
        }
    }

    /**
     * Returns what is known of the output; called often.
     *
     * @param directoryNanos the last moment at which the directory was certainly up to date
     */
    public Finding finding(long directoryNanos, long nowNanos) {
        if (finding == Finding.UNKNOWN && firstOutputNanos.isPresent()) {
            waitedNanos += Math.min(nowNanos - lastAskedNanos, MAX_COUNTED_WAIT_NANOS);
            lastAskedNanos = nowNanos;
            boolean isLater = directoryNanos - firstOutputNanos.getAsLong() >= MARGIN_NANOS;
            finding = isLater || waitedNanos >= MAX_WAIT_NANOS ? Finding.SAME_VERSION : Finding.UNKNOWN;
        }
        return finding;
    }
}
