package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.host.HostId;
import org.junit.jupiter.api.Test;

class BatchBoardTest {
    private static final long REVISION = 5;

    private final BatchBoard board = new BatchBoard();

    /**
     * Guards against results that are listed twice because a batch is submitted again while its host is taking it over.
     */
    @Test
    void addingAnOwnedBatchAgainKeepsTheFirstCopy() {
        OwnedBatch first = batch();

        assertThat(board.add(first)).isTrue();
        assertThat(board.add(batch())).isFalse();

        assertThat(board.find("b")).containsSame(first);
    }

    @Test
    void aRemovedBatchCanBeAddedAgain() {
        board.add(batch());
        board.remove("b");
        OwnedBatch later = batch();

        assertThat(board.add(later)).isTrue();
        assertThat(board.find("b")).containsSame(later);
    }

    @Test
    void anOwnedBatchHasNoOtherOwner() {
        board.ownedBy("b", new HostId("other"));
        board.add(batch());

        assertThat(board.owner("b")).isEmpty();
    }

    @Test
    void hasWrittenIsTrueOnlyForRevisionsBeforeTheLastWrite() {
        board.add(batch());

        assertThat(board.hasWritten("b", REVISION - 1)).isTrue();
        assertThat(board.hasWritten("b", REVISION)).isFalse();
        assertThat(board.hasWritten("other", 0)).isFalse();
    }

    private static OwnedBatch batch() {
        BatchRecord record =
                new BatchRecord("host", "/batch/new", "hash", "self", "start", 0, 1, 0, false, List.of(), 0);
        return new OwnedBatch("b", record, REVISION, List.of(), List.of());
    }
}
