package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.ExternalServiceException.Kind;
import org.gooseberryhill.external.PollingKeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.stored.StoredKeys;
import org.junit.jupiter.api.Test;

/** Guards against calls that the metric attributes to another purpose, or counts as answered although they failed. */
class CountedKeyValueStoreTest {
    private static final byte[] VALUE = new byte[0];

    private final GatewayMetrics metrics = new GatewayMetrics();
    private final FakeStore fake = new FakeStore();
    private final CountedKeyValueStore store = new CountedKeyValueStore(
            fake,
            Map.of(
                    StoredKeys.HOSTS,
                    StoreCallPurpose.HOST_LIST,
                    "servers/",
                    StoreCallPurpose.DIRECTORY,
                    "op/",
                    StoreCallPurpose.CONFIGURATION),
            metrics);

    @Test
    void readsCountByTheirPrefix() {
        store.list(StoredKeys.HOSTS, true);
        store.list("servers/", true);
        store.list("op/", false);
        store.read(StoredKeys.batch("b"));

        assertThat(count("host_list", "answered")).isEqualTo(1);
        assertThat(count("directory", "answered")).isEqualTo(1);
        assertThat(count("configuration", "answered")).isEqualTo(1);
        assertThat(count("batch", "answered")).isEqualTo(1);
    }

    @Test
    void writesCountByTheirFirstKey() {
        store.write(put(StoredKeys.host("a")));
        store.write(put(StoredKeys.VERSIONS));
        store.write(put(StoredKeys.QUARANTINE));
        store.write(put(StoredKeys.batch("b")));

        assertThat(count("lease", "answered")).isEqualTo(1);
        assertThat(count("record", "answered")).isEqualTo(2);
        assertThat(count("batch", "answered")).isEqualTo(1);
    }

    @Test
    void failuresCountByWhetherTheCallMayHaveTakenEffect() {
        fake.failure = new ExternalServiceException(Kind.NOT_DONE, "refused");
        store.renewLease(1);
        fake.failure = new ExternalServiceException(Kind.UNKNOWN, "no answer");
        store.changesAfter("op/", 1, 1000);
        fake.failure = new ExternalServiceException(Kind.HISTORY_GONE, "gone");
        store.changesAfter("op/", 1, 1000);

        assertThat(count("lease", "not_done")).isEqualTo(1);
        assertThat(count("watch", "unknown")).isEqualTo(1);
        assertThat(count("watch", "answered")).isEqualTo(1);
    }

    @Test
    void callsForOtherHostsCountAsRelayedWhateverTheyRead() {
        store.forOtherHosts().list("servers/", true);
        store.forOtherHosts().renewLease(1);

        assertThat(count("relayed", "answered")).isEqualTo(2);
        assertThat(count("directory", "answered")).isZero();
    }

    private double count(String purpose, String outcome) {
        String labels = "{outcome=\"" + outcome + "\",purpose=\"" + purpose + "\"}";
        return new String(metrics.all().toPrometheusText(), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith("gooseberry_store_calls_by_purpose_total" + labels))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' '))))
                .sum();
    }

    private static Transaction put(String key) {
        return Transaction.builder().put(key, VALUE).build();
    }

    /** A store that answers each call, or fails it. */
    private static final class FakeStore implements PollingKeyValueStore {
        private ExternalServiceException failure;

        @Override
        public long callCount() {
            return 0;
        }

        @Override
        public CompletableFuture<ReadResult> read(String key) {
            return answer(new ReadResult(1, List.of(), false));
        }

        @Override
        public CompletableFuture<Listing> list(String prefix, boolean mayBeStale) {
            return answer(new Listing(1, List.of()));
        }

        @Override
        public CompletableFuture<Changes> changesAfter(String prefix, long revision, long waitMillis) {
            return answer(new Changes(1, List.of()));
        }

        @Override
        public CompletableFuture<WriteResult> write(Transaction transaction) {
            return answer(new WriteResult(true, 1));
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMillis) {
            return answer(1L);
        }

        @Override
        public CompletableFuture<Long> renewLease(long leaseId) {
            return answer(1L);
        }

        @Override
        public CompletableFuture<Void> revokeLease(long leaseId) {
            return answer(null);
        }

        @Override
        public void close() {
            // Holds nothing.
        }

        private <T> CompletableFuture<T> answer(T result) {
            return failure == null
                    ? CompletableFuture.completedFuture(result)
                    : CompletableFuture.failedFuture(failure);
        }
    }
}
