package org.gooseberryhill.external;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.external.KeyValueStore.Entry;
import org.gooseberryhill.external.StreamingKeyValueStore.WatchListener;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.standin.KeyValueFaults;
import org.gooseberryhill.standin.KeyValueStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Contract of the key-value store that the system relies on, tested against the stand-in. */
class KeyValueStoreContractTest {
    /** Far longer than a call takes, so that only a test that hangs reaches it. */
    private static final int TIMEOUT_MILLIS = 60_000;

    private static final int SHORT_TIMEOUT_MILLIS = 300;

    /** Longer than the timeout of any call here. */
    private static final long LONG_DELAY_MILLIS = 600_000;

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final Address address = Loopback.freeAddress();
    private final KeyValueStandin standin = new KeyValueStandin(group, address);
    private final HttpClient http = new HttpClient(group);
    private final StreamingKeyValueStore store = new EtcdKeyValueStore(http, address, TIMEOUT_MILLIS);
    private final StreamingKeyValueStore shortTimeoutStore = new EtcdKeyValueStore(http, address, SHORT_TIMEOUT_MILLIS);

    @AfterEach
    void close() {
        http.close();
        standin.close();
        group.shutdownGracefully();
    }

    @Test
    void aKeyIsCreatedOnlyIfAbsent() {
        assertThat(create("k", "one")).isTrue();
        assertThat(create("k", "two")).isFalse();

        assertThat(value("k")).contains("one");
    }

    @Test
    void aWriteTakesEffectOnlyAtTheExpectedRevision() {
        create("k", "one");
        Entry first = entry("k").orElseThrow();
        write(Transaction.builder().ifRevisionIs("k", first.modRevision()).put("k", bytes("two")));

        assertThat(write(Transaction.builder()
                        .ifRevisionIs("k", first.modRevision())
                        .put("k", bytes("three"))))
                .isFalse();
        assertThat(value("k")).contains("two");
        assertThat(entry("k").orElseThrow().createRevision()).isEqualTo(first.createRevision());
    }

    @Test
    void theRevisionOfAKeyIsReadWithoutItsValue() {
        create("k", "v");

        assertThat(store.readRevision("k").join())
                .isEqualTo(entry("k").orElseThrow().modRevision());
        assertThat(store.readRevision("none").join()).isZero();
    }

    @Test
    void writesOfOneTransactionTakeEffectTogetherOrNotAtAll() {
        create("guard", "x");
        Transaction.Builder rejected =
                Transaction.builder().ifAbsent("guard").put("a", bytes("1")).delete("guard");

        assertThat(write(rejected)).isFalse();
        assertThat(value("a")).isEmpty();
        assertThat(value("guard")).isPresent();
    }

    @Test
    void theResultOfACreationHoldsTheKeysRevision() {
        KeyValueStore.WriteResult result = store.write(
                        Transaction.builder().ifAbsent("k").put("k", bytes("v")).build())
                .join();

        assertThat(entry("k").orElseThrow().createRevision()).isEqualTo(result.revision());
    }

    @Test
    void aPrefixIsReadInOrderAndInPages() {
        for (String key : List.of("/p/c", "/p/a", "/q/x", "/p/b")) {
            create(key, "v");
        }

        KeyValueStore.ReadResult page = store.readPrefix("/p/", "/p/", 2).join();

        assertThat(page.entries()).extracting(Entry::key).containsExactly("/p/a", "/p/b");
        assertThat(page.more()).isTrue();
        assertThat(store.readPrefix("/p/", "/p/b\0", 2).join().entries())
                .extracting(Entry::key)
                .containsExactly("/p/c");
    }

    /**
     * The prefix has more keys than fit on one page: all of them are listed, and later changes have greater revisions.
     */
    @Test
    void allKeysOfAPrefixAreListed() {
        IntStream.range(0, 600).forEach(number -> create("/l/%04d".formatted(number), "v"));
        create("/m/other", "v");

        KeyValueStore.Listing listing = store.list("/l/", false).join();

        assertThat(listing.entries()).hasSize(600).allMatch(entry -> entry.key().startsWith("/l/"));
        create("/l/later", "v");
        assertThat(entry("/l/later").orElseThrow().modRevision()).isGreaterThan(listing.revision());
    }

    @Test
    void keysBoundToALeaseEndWithIt() {
        long lease = store.grantLease(60_000).join();
        write(Transaction.builder().putUnderLease("k", bytes("v"), lease));
        assertThat(store.renewLease(lease).join()).isPositive();

        standin.expireAllLeases();

        assertThat(value("k")).isEmpty();
        assertThat(store.renewLease(lease).join()).isZero();
    }

    @Test
    void aKeyCannotBeBoundToARevokedLease() {
        long lease = store.grantLease(60_000).join();
        store.revokeLease(lease).join();

        assertThat(write(Transaction.builder().putUnderLease("k", bytes("v"), lease)))
                .isFalse();
    }

    @Test
    void aWatchReportsWritesAndDeletionsFromItsRevisionOn() throws IOException {
        create("/w/before", "1");
        long revision = store.read("/w/before").join().revision();
        List<String> seen = new CopyOnWriteArrayList<>();
        create("/w/between", "2");
        try (Closeable watch = store.watch("/w/", revision + 1, listener(seen, new AtomicBoolean()))) {
            create("/w/after", "3");
            create("/other", "4");
            write(Transaction.builder().delete("/w/after"));
            Loopback.await("three events", () -> seen.size() == 3);
        }

        assertThat(seen).containsExactly("/w/between=2", "/w/after=3", "/w/after deleted");
    }

    /** During an outage of the key-value store, calls fail as unanswered; watches end and notify their listeners. */
    @Test
    void anOutageFailsCallsAndEndsWatches() throws IOException {
        AtomicBoolean ended = new AtomicBoolean();
        try (Closeable watch = store.watch("/w/", 0, listener(new CopyOnWriteArrayList<>(), ended))) {
            create("/w/key", "v");
            standin.setFaults(new KeyValueFaults(true, 0, 0, 0, false));

            assertThatThrownBy(() -> store.read("k").join()).hasCauseInstanceOf(ExternalServiceException.class);
            Loopback.await("the end of the watch", ended::get);
        }
    }

    @Test
    void aWriteWhoseAnswerIsLostFailsButTakesEffect() {
        standin.setFaults(new KeyValueFaults(false, 0, 1, 0, false));

        assertThatThrownBy(() -> create("k", "v")).isInstanceOf(CompletionException.class);
        assertThat(value("k")).contains("v");
    }

    @Test
    void aServiceThatIsTooSlowCountsAsUnanswered() {
        standin.setFaults(new KeyValueFaults(false, LONG_DELAY_MILLIS, 0, 0, false));

        assertThatThrownBy(() -> shortTimeoutStore.read("k").join()).hasCauseInstanceOf(ExternalServiceException.class);
    }

    @Test
    void eachCallIsCountedByKind() {
        create("k", "v");
        value("k");

        assertThat(standin.callCounts()).containsEntry("/v3/kv/txn", 1L).containsEntry("/v3/kv/range", 1L);
    }

    private boolean create(String key, String value) {
        return write(Transaction.builder().ifAbsent(key).put(key, bytes(value)));
    }

    private boolean write(Transaction.Builder transaction) {
        return store.write(transaction.build()).join().succeeded();
    }

    private Optional<Entry> entry(String key) {
        return store.read(key).join().first();
    }

    private Optional<String> value(String key) {
        return entry(key).map(found -> new String(found.value(), StandardCharsets.UTF_8));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static WatchListener listener(List<String> seen, AtomicBoolean ended) {
        return new WatchListener() {
            @Override
            public void onChange(String key, Optional<Entry> entry) {
                seen.add(entry.map(found -> key + "=" + new String(found.value(), StandardCharsets.UTF_8))
                        .orElse(key + " deleted"));
            }

            @Override
            public void onEnd() {
                ended.set(true);
            }
        };
    }
}
