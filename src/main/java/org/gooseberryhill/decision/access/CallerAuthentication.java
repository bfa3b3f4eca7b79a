package org.gooseberryhill.decision.access;

import io.vavr.control.Either;
import java.util.Optional;
import org.gooseberryhill.account.AccountDirectory;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;

/** Decides on whose behalf a request is made. Stateless. */
public final class CallerAuthentication {
    private CallerAuthentication() {}

    /**
     * Returns the caller of a request, or its refusal.
     *
     * @param key the key that the request bears; empty also if it bears more than one
     * @param anonymous whether the route is open to everybody; a key is not looked at there
     */
    public static Either<Refusal, Caller> authenticate(
            AccountDirectory accounts, Optional<String> key, boolean anonymous) {
        if (accounts.isEmpty()) {
            return Either.right(Caller.UNATTRIBUTED);
        }
        if (anonymous) {
            return Either.right(Caller.ANONYMOUS);
        }
        return key.flatMap(accounts::find)
                .map(Caller::of)
                .<Either<Refusal, Caller>>map(Either::right)
                .orElseGet(() -> Either.left(refusal(key.isPresent())));
    }

    private static Refusal refusal(boolean hasKey) {
        String reason = hasKey ? "no account has this key" : "the request bears no key, or more than one";
        return Refusal.notRun(ErrorCode.UNAUTHENTICATED, reason);
    }
}
