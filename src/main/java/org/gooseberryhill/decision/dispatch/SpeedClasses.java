package org.gooseberryhill.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Tells for operators which endpoints are slow or fast. It decides nothing about requests. Not thread-safe.
 *
 * <p>Load pattern: some endpoints are slow for half a second every other second. A change of class counts only after it has
 * lasted for some updates, and the changes of one update are bounded: others follow with the next ones.
 */
public final class SpeedClasses {
    private static final double SLOW_FROM = 1.25;
    private static final double SLOW_UNTIL = 1.15;
    private static final double FAST_FROM = 0.8;
    private static final double FAST_UNTIL = 0.87;

    /** With an update each second longer than the slow periods of the sites in use. */
    private static final int UPDATES_OF_CHANGE = 3;

    private static final int MAX_CHANGES_PER_UPDATE = 2;

    private final Map<EndpointKey, Known> known = new HashMap<>();

    /**
     * Compares the classes with those of the last update and returns the changes.
     *
     * @param relativeDurations the observed endpoints; others are forgotten
     */
    public List<SpeedChange> update(Map<EndpointKey, Double> relativeDurations) {
        known.keySet().retainAll(relativeDurations.keySet());
        List<SpeedChange> changes = new ArrayList<>();
        relativeDurations.forEach((endpoint, relative) -> {
            Known state = known.computeIfAbsent(endpoint, key -> new Known());
            SpeedClass now = classOf(relative, state.reported);
            state.updatesOfChange = now == state.reported ? 0 : state.updatesOfChange + 1;
            if (state.updatesOfChange >= UPDATES_OF_CHANGE && changes.size() < MAX_CHANGES_PER_UPDATE) {
                changes.add(new SpeedChange(endpoint, state.reported, now, relative));
                state.reported = now;
                state.updatesOfChange = 0;
            }
        });
        return changes;
    }

    /** Returns the number of endpoints of a class. */
    public int count(SpeedClass speedClass) {
        return (int) known.values().stream()
                .filter(state -> state.reported == speedClass)
                .count();
    }

    private static SpeedClass classOf(double relative, SpeedClass reported) {
        if (relative >= (reported == SpeedClass.SLOW ? SLOW_UNTIL : SLOW_FROM)) {
            return SpeedClass.SLOW;
        }
        if (relative <= (reported == SpeedClass.FAST ? FAST_UNTIL : FAST_FROM)) {
            return SpeedClass.FAST;
        }
        return SpeedClass.USUAL;
    }

    /** The class of an endpoint that was reported last, and for how many updates another one was seen. */
    private static final class Known {
        private SpeedClass reported = SpeedClass.USUAL;
        private int updatesOfChange;
    }
}
