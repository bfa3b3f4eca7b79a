package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.gooseberryhill.decision.requestbatch.RecordWrite.Step;
import org.junit.jupiter.api.Test;

class RecordWriteTest {
    private static final WriteId ID = new WriteId("p-1");

    private final RecordWrite write = new RecordWrite(ID);

    @Test
    void aRefusedWriteHasTakenEffectIfTheRecordBearsItsId() {
        assertThat(write.written(false)).isEqualTo(Step.READ);
        assertThat(write.read(Optional.of(ID))).isEqualTo(Step.DONE);
    }

    /** Guards against a commit that counts as done because another commit of the same process left an equal record. */
    @Test
    void aRefusedWriteHasNotTakenEffectIfAnotherWriteStoredTheRecord() {
        assertThat(write.written(false)).isEqualTo(Step.READ);
        assertThat(write.read(Optional.of(new WriteId("p-2")))).isEqualTo(Step.SUPERSEDED);
    }

    @Test
    void aRefusedWriteHasNotTakenEffectIfTheRecordIsGoneOrBearsNoId() {
        assertThat(write.read(Optional.empty())).isEqualTo(Step.SUPERSEDED);
    }

    @Test
    void aWriteWithoutAnAnswerIsRepeated() {
        assertThat(write.writeUnanswered()).isEqualTo(Step.WRITE);
        assertThat(write.readUnanswered()).isEqualTo(Step.READ);
    }
}
