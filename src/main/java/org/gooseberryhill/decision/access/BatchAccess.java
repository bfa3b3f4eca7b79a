package org.gooseberryhill.decision.access;

import java.util.Optional;
import org.gooseberryhill.account.Caller;

/**
 * Decides whether a caller may see a request batch: any key of the account that submitted it opens it. Immutable.
 *
 * <p>A batch without an account was submitted without attribution, by an anonymous caller or through a host that did not know
 * accounts yet. It is open to all callers that are accepted at all, since nobody could show that it is theirs.
 *
 * @param requiredAccount the account that must have submitted the batch; empty if that is not asked for, or was checked by
 *     the host that passed the call on
 */
public record BatchAccess(Optional<String> requiredAccount) {
    /** Access that was checked before. */
    public static final BatchAccess UNCHECKED = new BatchAccess(Optional.empty());

    /** No account has this name. */
    private static final String NO_ACCOUNT = "";

    /** Returns the access of a caller. */
    public static BatchAccess of(Caller caller) {
        return caller.attributed()
                ? new BatchAccess(Optional.of(caller.accountName().orElse(NO_ACCOUNT)))
                : UNCHECKED;
    }

    /** Returns whether a batch may be seen that the given account submitted; empty if no account did. */
    public boolean isGranted(Optional<String> submitter) {
        return requiredAccount.isEmpty() || submitter.isEmpty() || submitter.equals(requiredAccount);
    }
}
