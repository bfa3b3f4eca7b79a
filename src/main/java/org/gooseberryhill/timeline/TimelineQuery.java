package org.gooseberryhill.timeline;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * A filter for timeline events. Immutable.
 *
 * @param request only events of this request
 * @param job only events of this job or request batch
 * @param item only events of this item of the job or batch
 * @param endpoint only events of this endpoint
 * @param surroundings whether to add the state changes of processes, of the store and of the endpoints concerned that
 *     occurred around the time of the selected events
 */
public record TimelineQuery(
        Optional<String> request,
        Optional<String> job,
        Optional<String> item,
        Optional<String> endpoint,
        boolean surroundings) {
    /**
     * The time before the first selected event. It covers the reports on which a decision is based: hosts report each
     * second, and the store counts as lost after some seconds.
     */
    private static final long SURROUNDINGS_BEFORE_MILLIS = TimeUnit.SECONDS.toMillis(5);

    /** The time after the last selected event. It covers the detection and the restart of a host lost with a request. */
    private static final long SURROUNDINGS_AFTER_MILLIS = TimeUnit.SECONDS.toMillis(5);

    private static final Set<String> STATE_KINDS = Arrays.stream(EventKind.values())
            .filter(kind -> kind.importance() == Importance.STATE)
            .map(EventKind::wireName)
            .collect(Collectors.toUnmodifiableSet());

    private static final Set<String> ENDPOINT_KINDS = Set.of(
            EventKind.DIRECTORY_CHANGED.wireName(),
            EventKind.ENDPOINT_HEALTH.wireName(),
            EventKind.ENDPOINT_CRASHED.wireName());

    /** Returns the selected events, in their given order. */
    public List<TimelineEvent> select(List<TimelineEvent> events) {
        List<TimelineEvent> selected = events.stream().filter(this::matches).toList();
        if (!surroundings || selected.isEmpty()) {
            return selected;
        }
        long fromMillis = selected.get(0).at().epochMillis() - SURROUNDINGS_BEFORE_MILLIS;
        long toMillis = selected.get(selected.size() - 1).at().epochMillis() + SURROUNDINGS_AFTER_MILLIS;
        Set<String> endpoints = new TreeSet<>();
        selected.forEach(event -> event.endpoint().ifPresent(endpoints::add));
        return events.stream()
                .filter(event ->
                        matches(event) || isBetween(event, fromMillis, toMillis) && isSurrounding(event, endpoints))
                .toList();
    }

    private boolean matches(TimelineEvent event) {
        return matches(request, event.request())
                && matches(job, event.job())
                && matches(item, Optional.of(event.detail("item")))
                && matches(endpoint, event.endpoint());
    }

    private static boolean isSurrounding(TimelineEvent event, Set<String> endpoints) {
        if (ENDPOINT_KINDS.contains(event.kind())) {
            return event.endpoint().map(endpoints::contains).orElse(false);
        }
        return STATE_KINDS.contains(event.kind())
                && event.request().isEmpty()
                && event.job().isEmpty();
    }

    private static boolean isBetween(TimelineEvent event, long fromMillis, long toMillis) {
        long millis = event.at().epochMillis();
        return fromMillis <= millis && millis <= toMillis;
    }

    private static boolean matches(Optional<String> wanted, Optional<String> actual) {
        return wanted.isEmpty() || wanted.equals(actual);
    }
}
