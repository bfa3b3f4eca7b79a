package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.dialect.DirectoryDialect;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.timeline.Timeline;
import org.gooseberryhill.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

class RegisteredEndpointsTest {
    private static final String KEY = "endpoint-1";

    private final List<TimelineEvent> events = new ArrayList<>();
    private final RegisteredEndpoints endpoints = new RegisteredEndpoints(
            new UnreadableDirectory(), new Timeline("host", new HybridClock(() -> 0), events::add));

    /** Guards against one log line for each heartbeat of an endpoint whose registration can't be read. */
    @Test
    void anInvalidRegistrationIsLoggedOnceForEachValue() {
        apply(Optional.of("x"));
        apply(Optional.of("x"));
        assertThat(events).hasSize(1);

        apply(Optional.of("y"));
        assertThat(events).hasSize(2);

        apply(Optional.empty());
        apply(Optional.of("y"));
        assertThat(events).hasSize(3);
    }

    private void apply(Optional<String> value) {
        endpoints.apply(List.of(new KeyChange(KEY, value.map(text -> text.getBytes(StandardCharsets.UTF_8)), 1)));
    }

    /** A directory whose registrations are all invalid. */
    private static final class UnreadableDirectory implements DirectoryDialect {
        @Override
        public String prefix() {
            return "";
        }

        @Override
        public Either<String, EndpointEntry> parseRegistration(KeyChange entry) {
            return Either.left("not readable");
        }
    }
}
