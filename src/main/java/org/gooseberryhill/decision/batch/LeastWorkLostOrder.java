package org.gooseberryhill.decision.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Items with the fewest tokens yield first; of equals the latest. Stateless. */
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
