package org.gooseberryhill.gateway;

import org.gooseberryhill.decision.share.ShareFacts;
import org.gooseberryhill.timeline.EventBuilder;

/** Writes the figures by which a request of an account above its share was refused. Stateless. */
final class ShareLogFields {
    private ShareLogFields() {}

    static void addTo(EventBuilder event, ShareFacts share) {
        event.with("askedPerSecond", Math.round(share.askedPerSecond()))
                .with("placedPerSecond", Math.round(share.placedPerSecond()))
                .with("sharePerSecond", Math.round(share.sharePerSecond()))
                .with("freeSlots", share.freeSlots())
                .with("keptSlots", share.keptSlots());
    }
}
