package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.host.HostId;
import org.junit.jupiter.api.Test;

class BatchRegistryTest {
    private static final long REVISION = 5;

    private final BatchRegistry registry = new BatchRegistry();

    /**
     * Guards against results that are committed twice because a batch is submitted again while its host is taking it
     * over.
     */
    @Test
    void addingAnOwnedBatchAgainKeepsTheFirstCopy() {
        OwnedBatch firstCopy = batch();

        assertThat(registry.add(firstCopy)).isTrue();
        assertThat(registry.add(batch())).isFalse();

        assertThat(registry.find("b")).containsSame(firstCopy);
    }

    @Test
    void aRemovedBatchCanBeAddedAgain() {
        OwnedBatch firstCopy = batch();
        registry.add(firstCopy);
        assertThat(registry.remove(firstCopy)).isTrue();
        OwnedBatch newCopy = batch();

        assertThat(registry.add(newCopy)).isTrue();
        assertThat(registry.find("b")).containsSame(newCopy);
    }

    /** Guards against a late answer that concerns an earlier copy of a batch and takes the later one away. */
    @Test
    void removingAnEarlierCopyLeavesTheLaterOne() {
        OwnedBatch firstCopy = batch();
        registry.add(firstCopy);
        registry.remove(firstCopy);
        OwnedBatch newCopy = batch();
        registry.add(newCopy);

        assertThat(registry.remove(firstCopy)).isFalse();

        assertThat(registry.holds(firstCopy)).isFalse();
        assertThat(registry.holds(newCopy)).isTrue();
    }

    @Test
    void anOwnedBatchHasNoOtherOwner() {
        registry.setOwner("b", new HostId("other"));
        registry.add(batch());

        assertThat(registry.owner("b")).isEmpty();
    }

    @Test
    void hasWrittenIsTrueOnlyForRevisionsBeforeTheLastWrite() {
        registry.add(batch());

        assertThat(registry.hasWrittenAfter("b", REVISION - 1)).isTrue();
        assertThat(registry.hasWrittenAfter("b", REVISION)).isFalse();
        assertThat(registry.hasWrittenAfter("other", 0)).isFalse();
    }

    private static OwnedBatch batch() {
        BatchRecord record = new BatchRecord(
                "host", "/batch/new", "hash", "self", "start", 0, 1, 0, false, List.of(), 0, Optional.empty());
        return new OwnedBatch("b", record, REVISION, List.of(), List.of());
    }
}
