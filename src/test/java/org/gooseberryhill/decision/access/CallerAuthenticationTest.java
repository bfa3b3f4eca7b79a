package org.gooseberryhill.decision.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.account.AccountDirectory;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.account.ClientAccount;
import org.gooseberryhill.account.KeyDigest;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.junit.jupiter.api.Test;

class CallerAuthenticationTest {
    private static final ClientAccount STUDIO =
            new ClientAccount("studio", Set.of(KeyDigest.of("key")), Optional.empty());

    private final AccountDirectory accounts = new AccountDirectory(List.of(STUDIO));

    @Test
    void aKnownKeyNamesItsAccount() {
        assertThat(CallerAuthentication.authenticate(accounts, Optional.of("key"), false)
                        .get())
                .isEqualTo(Caller.of(STUDIO));
    }

    @Test
    void aMissingOrUnknownKeyIsRefusedAsNotRun() {
        for (Optional<String> key : List.of(Optional.<String>empty(), Optional.of("other"), Optional.of(""))) {
            assertThat(CallerAuthentication.authenticate(accounts, key, false).getLeft())
                    .satisfies(refusal -> assertThat(refusal.code()).isEqualTo(ErrorCode.UNAUTHENTICATED))
                    .satisfies(refusal -> assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN))
                    .satisfies(refusal -> assertThat(refusal.message()).doesNotContain("other"));
        }
    }

    @Test
    void anAnonymousRouteServesAnyKeyInNobodysName() {
        assertThat(CallerAuthentication.authenticate(accounts, Optional.of("key"), true)
                        .get())
                .isEqualTo(Caller.ANONYMOUS);
    }

    @Test
    void withoutAccountsNobodyNeedsAKey() {
        assertThat(CallerAuthentication.authenticate(AccountDirectory.NONE, Optional.empty(), false)
                        .get())
                .isEqualTo(Caller.UNATTRIBUTED);
    }

    @Test
    void anAccountWithoutKeysIsNotReachedByAnyKey() {
        AccountDirectory closed = new AccountDirectory(List.of(new ClientAccount("shop", Set.of(), Optional.empty())));

        assertThat(CallerAuthentication.authenticate(closed, Optional.of("key"), false)
                        .isLeft())
                .isTrue();
    }
}
