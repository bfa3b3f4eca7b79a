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
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.timeline.Timeline;
import org.gooseberryhill.timeline.TimelineEvent;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

    @Test
    void registrationsThatOnlyShowThatTheirEndpointIsAliveAreLeftOut() {
        RegisteredEndpoints readable = readable();
        readable.apply(List.of(written(KEY, 1)));

        assertThat(readable.withoutHeartbeats(List.of(written(KEY, 2), written("endpoint-2", 3))))
                .extracting(KeyChange::key)
                .containsExactly("endpoint-2");
    }

    /** Guards against a version that is overlooked since its endpoint came and went between two queries. */
    @Test
    void anEndpointThatComesAndGoesAmongTheChangesIsNamed() {
        RegisteredEndpoints readable = readable();

        assertThat(readable.apply(List.of(written(KEY, 1), KeyChange.deleted(KEY, 2))))
                .isTrue();

        assertThat(readable.passedEntries()).hasSize(1);
        assertThat(readable.entries()).isEmpty();
    }

    /**
     * Guards against endpoints that stay unknown to other hosts: their registrations lapsed in an outage of the store and came
     * back unchanged, and a host that read both at once forwarded only the end of the first ones.
     */
    @Test
    void aRegistrationThatReturnsUnchangedAfterItsDeletionIsNotLeftOut() {
        RegisteredEndpoints readable = readable();
        readable.apply(List.of(written(KEY, 1)));
        List<KeyChange> changes = List.of(KeyChange.deleted(KEY, 2), written(KEY, 3), written(KEY, 4));

        assertThat(readable.withoutHeartbeats(changes)).containsExactly(changes.get(0), changes.get(1));
    }

    /** Guards against endpoints that are lost to a host because a registration beside theirs can't be decoded. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aRegistrationWhoseDecodingThrowsKeepsNoOtherFromBeingRead(int position) {
        RegisteredEndpoints endpointsBesideIt = new RegisteredEndpoints(
                new ThrowingDirectory(), new Timeline("host", new HybridClock(() -> 0), events::add));
        List<KeyChange> changes = new ArrayList<>(List.of(written("endpoint-1", 1), written("endpoint-2", 2)));
        changes.add(position, written(ThrowingDirectory.UNREADABLE_KEY, 3));

        assertThat(endpointsBesideIt.withoutHeartbeats(changes)).hasSize(3);
        assertThat(endpointsBesideIt.apply(changes)).isTrue();

        assertThat(endpointsBesideIt.entries())
                .extracting(EndpointEntry::id)
                .containsExactly("endpoint-1", "endpoint-2");
        assertThat(endpointsBesideIt.invalidCount()).isEqualTo(1);
    }

    private RegisteredEndpoints readable() {
        return new RegisteredEndpoints(
                new ReadableDirectory(), new Timeline("host", new HybridClock(() -> 0), events::add));
    }

    private static KeyChange written(String key, long revision) {
        return KeyChange.written(key, new byte[] {1}, revision);
    }

    private void apply(Optional<String> value) {
        endpoints.apply(List.of(new KeyChange(KEY, value.map(text -> text.getBytes(StandardCharsets.UTF_8)), 1)));
    }

    /** A directory whose registrations all name the same endpoint, except for its id. */
    private static class ReadableDirectory implements DirectoryDialect {
        @Override
        public String prefix() {
            return "";
        }

        @Override
        public Either<String, EndpointEntry> parseRegistration(KeyChange entry) {
            return Either.right(new EndpointEntry(
                    entry.key(), 1, "s", "v1", new Address("10.0.0.1", 80), new AvailabilityZone("z"), 1, false, 0));
        }
    }

    /** A directory with a registration whose decoding throws. */
    private static final class ThrowingDirectory extends ReadableDirectory {
        private static final String UNREADABLE_KEY = "unreadable";

        @Override
        public Either<String, EndpointEntry> parseRegistration(KeyChange entry) {
            if (entry.key().equals(UNREADABLE_KEY)) {
                throw new IllegalArgumentException("unreadable");
            }
            return super.parseRegistration(entry);
        }
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
