package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import org.gooseberryhill.decision.share.ShareFacts;

/**
 * Holds the figures by which a request was refused because of load, for the log. Immutable.
 *
 * @param waitMillis forecast wait for a slot
 * @param longestWaitMillis longest wait that was allowed
 * @param meanRunMillis mean time that a request of the service holds its slot
 * @param share the figures of its account; present if the account is above its share
 */
public record OverloadFacts(long waitMillis, long longestWaitMillis, long meanRunMillis, Optional<ShareFacts> share) {
    /** Creates the figures of a request that was refused whoever sent it. */
    public OverloadFacts(long waitMillis, long longestWaitMillis, long meanRunMillis) {
        this(waitMillis, longestWaitMillis, meanRunMillis, Optional.empty());
    }

    /** Returns these figures with those of the request's account. */
    OverloadFacts with(ShareFacts facts) {
        return new OverloadFacts(waitMillis, longestWaitMillis, meanRunMillis, Optional.of(facts));
    }

    static OverloadFacts of(OverloadCase overload, double longestWaitMillis) {
        return new OverloadFacts(
                Math.round(overload.waitMillis()), Math.round(longestWaitMillis), Math.round(overload.meanRunMillis()));
    }
}
