package org.gooseberryhill.timeline;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gooseberryhill.link.HybridTimestamp;

/**
 * Builder of a timeline event. Not thread-safe.
 *
 * <p>Example: {@code timeline.event(EventKind.ATTEMPT_SENT).request(id).endpoint(name).with("attempt", 1).write()}.
 */
public final class EventBuilder {
    private final EventKind kind;
    private final Consumer<EventBuilder> recorder;
    private final Map<String, Object> details = new LinkedHashMap<>();
    private Optional<String> request = Optional.empty();
    private Optional<String> job = Optional.empty();
    private Optional<String> endpoint = Optional.empty();

    EventBuilder(EventKind kind, Consumer<EventBuilder> recorder) {
        this.kind = kind;
        this.recorder = recorder;
    }

    /** Sets the request concerned. */
    public EventBuilder request(String id) {
        request = Optional.of(id);
        return this;
    }

    /** Sets the job or request batch concerned. */
    public EventBuilder job(String id) {
        job = Optional.of(id);
        return this;
    }

    /** Sets the endpoint concerned. */
    public EventBuilder endpoint(String name) {
        endpoint = Optional.of(name);
        return this;
    }

    /** Adds an input or the outcome of the decision; names of durations end in their unit. */
    public EventBuilder with(String name, Object value) {
        details.put(name, value instanceof Number || value instanceof Boolean ? value : String.valueOf(value));
        return this;
    }

    /** Writes the event; never blocks. */
    public void write() {
        recorder.accept(this);
    }

    EventKind kind() {
        return kind;
    }

    TimelineEvent build(HybridTimestamp at, String process) {
        return new TimelineEvent(at, process, kind.wireName(), request, job, endpoint, details);
    }
}
