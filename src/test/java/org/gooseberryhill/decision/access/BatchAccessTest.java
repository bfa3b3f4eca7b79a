package org.gooseberryhill.decision.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.account.ClientAccount;
import org.junit.jupiter.api.Test;

class BatchAccessTest {
    private static final Optional<String> STUDIO = Optional.of("studio");
    private static final Optional<String> NOBODY = Optional.empty();

    @Test
    void anAccountSeesItsOwnBatchesAndThoseOfNobody() {
        BatchAccess access = BatchAccess.of(Caller.of(new ClientAccount("studio", Set.of(), Optional.empty())));

        assertThat(access.isGranted(STUDIO)).isTrue();
        assertThat(access.isGranted(NOBODY)).isTrue();
        assertThat(access.isGranted(Optional.of("shop"))).isFalse();
    }

    @Test
    void anAnonymousCallerSeesOnlyBatchesOfNobody() {
        BatchAccess access = BatchAccess.of(Caller.ANONYMOUS);

        assertThat(access.isGranted(STUDIO)).isFalse();
        assertThat(access.isGranted(NOBODY)).isTrue();
    }

    @Test
    void withoutAccountsEverybodySeesAllBatches() {
        assertThat(BatchAccess.of(Caller.UNATTRIBUTED).isGranted(STUDIO)).isTrue();
    }
}
