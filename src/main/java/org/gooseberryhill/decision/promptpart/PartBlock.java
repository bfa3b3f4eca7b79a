package org.gooseberryhill.decision.promptpart;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Parts of prompts whose requests are refused. Immutable.
 *
 * <p>Several parts are blocked together while all requests that crashed endpoints had all of them: a request with some of them may
 * run, confined, and tells them apart.
 *
 * @param parts the parts; a request that has all of them is refused
 * @param crashes the crashes that decided
 * @param lastCrashNanos the latest crash of a request with the parts, in nanoseconds
 * @param beganUnserved whether nobody was known to have served the parts when they were blocked
 * @param trials the number of trials that are over: requests that were let through and crashed their endpoints, or that a part
 *     which was never served does without
 */
public record PartBlock(
        Set<PromptPartKey> parts, List<DecidingCrash> crashes, long lastCrashNanos, boolean beganUnserved, int trials) {
    /** Number of trials with which the block of a part begins that was served before its crashes: it is tried sooner. */
    static final int NO_TRIAL_SERVED = 0;

    /** Number of trials with which the block of any other part begins. */
    static final int NO_TRIAL = 1;

    /** Delays after which one request is let through; after the last of them only another software version is tried. */
    private static final long[] TRIAL_DELAYS_NANOS = {
        TimeUnit.SECONDS.toNanos(10), TimeUnit.MINUTES.toNanos(2), TimeUnit.MINUTES.toNanos(20)
    };

    private static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(24);

    /** Returns when a request is let through to see whether the cause is mended, in nanoseconds; empty if none is. */
    Optional<Long> nextTrialNanos() {
        return trials < TRIAL_DELAYS_NANOS.length
                ? Optional.of(lastCrashNanos + TRIAL_DELAYS_NANOS[trials])
                : Optional.empty();
    }

    /** Returns when the parts count as served, whatever happened before, in nanoseconds. */
    long expiryNanos() {
        return lastCrashNanos + RETENTION_NANOS;
    }

    /** Returns the ids of the endpoints whose crashes decided. */
    Set<String> endpoints() {
        return crashes.stream().map(DecidingCrash::endpoint).collect(Collectors.toSet());
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - expiryNanos() > 0;
    }

    /** Returns whether requests with these parts are refused at the version that the block is about. */
    boolean blocks(Set<PromptPartKey> requestParts) {
        return requestParts.containsAll(parts);
    }

    /** Returns the block of the same parts at another version of the service's software. */
    PartBlock at(ServiceVersion version) {
        return new PartBlock(
                parts.stream().map(part -> part.at(version)).collect(Collectors.toSet()),
                crashes,
                lastCrashNanos,
                beganUnserved,
                trials);
    }

    /** Returns the block after a further crash; it counts as a trial if the request was sent when one was due. */
    PartBlock crashedAgain(long atNanos, long sentNanos) {
        boolean wasTrial = nextTrialNanos().map(nanos -> sentNanos - nanos >= 0).orElse(false);
        long latestNanos = atNanos - lastCrashNanos > 0 ? atNanos : lastCrashNanos;
        return new PartBlock(parts, crashes, latestNanos, beganUnserved, wasTrial ? trials + 1 : trials);
    }

    /** Returns the block without a part that was served; empty if no part is left. */
    Optional<PartBlock> without(PromptPartKey part) {
        Set<PromptPartKey> rest = new HashSet<>(parts);
        rest.remove(part);
        return rest.isEmpty()
                ? Optional.empty()
                : Optional.of(new PartBlock(Set.copyOf(rest), crashes, lastCrashNanos, beganUnserved, trials));
    }

    /**
     * A crash that counted when a part was blocked. Immutable.
     *
     * @param endpoint the endpoint's id
     * @param reporter the host that reported it first
     * @param atNanos when it happened, in nanoseconds
     */
    public record DecidingCrash(String endpoint, String reporter, long atNanos) {}
}
