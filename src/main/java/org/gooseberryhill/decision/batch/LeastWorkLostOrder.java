package org.gooseberryhill.decision.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Makes the items with the fewest generated tokens yield first; among equals, the latest to start. Stateless. */
public final class LeastWorkLostOrder implements YieldOrder {
    private static final Comparator<RunningItem> LATEST =
            Comparator.comparingLong(RunningItem::startNanos).reversed();
    private static final Comparator<RunningItem> FEWEST_TOKENS_THEN_LATEST =
            Comparator.comparingInt(RunningItem::tokens).thenComparing(LATEST);

    @Override
    public List<RunningItem> choose(Collection<RunningItem> running, int number) {
        return running.stream()
                .sorted(FEWEST_TOKENS_THEN_LATEST)
                .limit(Math.max(0, number))
                .toList();
    }
}
