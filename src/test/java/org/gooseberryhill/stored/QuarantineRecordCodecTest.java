package org.gooseberryhill.stored;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.gooseberryhill.decision.promptpart.PromptPartKey;
import org.gooseberryhill.decision.promptpart.QuarantineRecord;
import org.gooseberryhill.directory.ServiceVersion;
import org.junit.jupiter.api.Test;

class QuarantineRecordCodecTest {
    private static final PromptPartKey PART = new PromptPartKey(new ServiceVersion("s", "v1"), "m \u00e4", "p,\"1\"");
    private static final PromptPartKey OTHER = new PromptPartKey(new ServiceVersion("s", "v1"), "m", "q");

    @Test
    void aRecordIsDecodedUnchanged() {
        QuarantineRecord record = new QuarantineRecord(List.of(
                new QuarantineRecord.Block(
                        Set.of(PART, OTHER),
                        List.of(new QuarantineRecord.Crash("e", "h", 1L << 40)),
                        1L << 41,
                        true,
                        2),
                new QuarantineRecord.Block(Set.of(OTHER), List.of(), 5, false, 0)));

        assertThat(QuarantineRecordCodec.read(QuarantineRecordCodec.write(record)))
                .contains(record);
    }

    @Test
    void aRecordThatLacksAFieldIsUnreadable() {
        byte[] value = "{\"blocks\":[{\"parts\":[],\"crashes\":[],\"trials\":0}]}".getBytes(StandardCharsets.UTF_8);

        assertThat(QuarantineRecordCodec.read(value).isFailure()).isTrue();
    }
}
