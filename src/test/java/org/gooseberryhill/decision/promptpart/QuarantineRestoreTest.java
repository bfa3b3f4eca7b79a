package org.gooseberryhill.decision.promptpart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.prompt;

import java.util.List;
import org.gooseberryhill.decision.promptpart.PartVerdict.Kind;
import org.junit.jupiter.api.Test;

/** Tests what a host learns from the record of blocked parts in the key-value store. */
class QuarantineRestoreTest {
    private final QuarantineFixture host = new QuarantineFixture();

    @Test
    void aBlockIsRestoredFromTheRecord() {
        host.crashInTurn(3, prompt("a"));
        QuarantineRecord record = host.quarantine.toRecord(1_000_000, host.nowNanos);
        QuarantineFixture other = new QuarantineFixture();

        other.quarantine.restore(record, 1_000_000, other.nowNanos);

        assertThat(other.kind("a")).isEqualTo(Kind.BLOCKED);
        assertThat(other.quarantine.differsFrom(record)).isFalse();
        assertThat(other.quarantine.toRecord(1_000_000, other.nowNanos)).isEqualTo(record);
    }

    /** Guards against a part that is refused by hosts that have not heard of the answer which lifted its block. */
    @Test
    void aBlockThatIsMissingInALaterRecordIsLifted() {
        host.crashInTurn(3, prompt("a"));
        host.quarantine.restore(host.quarantine.toRecord(1_000_000, host.nowNanos), 1_000_000, host.nowNanos);

        List<BlockChange> changes = host.quarantine.restore(QuarantineRecord.EMPTY, 1_000_000, host.nowNanos);
        host.quarantine.reassess(host.nowNanos);

        assertThat(changes).extracting(BlockChange::kind).containsExactly(BlockChange.Kind.LIFTED);
        assertThat(host.kind("a")).isNotEqualTo(Kind.BLOCKED);
    }

    /** Guards against a block that is lost because the record was read before it was written. */
    @Test
    void aBlockThatWasNeverRecordedIsKept() {
        host.crashInTurn(3, prompt("a"));

        host.quarantine.restore(QuarantineRecord.EMPTY, 1_000_000, host.nowNanos);

        assertThat(host.kind("a")).isEqualTo(Kind.BLOCKED);
        assertThat(host.quarantine.differsFrom(QuarantineRecord.EMPTY)).isTrue();
    }
}
