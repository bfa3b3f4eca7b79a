package org.gooseberryhill.decision.requestbatch;

import java.util.Set;
import org.gooseberryhill.decision.promptpart.PartVerdict;
import org.gooseberryhill.decision.promptpart.PromptPartKey;

/** An item that would start next at an endpoint, but needs a permit because of the parts of its prompt. Immutable. */
public final class SuspectItem {
    private final DueItem dueItem;
    private final PartVerdict verdict;

    SuspectItem(DueItem dueItem, PartVerdict verdict) {
        this.dueItem = dueItem;
        this.verdict = verdict;
    }

    DueItem dueItem() {
        return dueItem;
    }

    /** Returns the suspected parts. */
    public Set<PromptPartKey> parts() {
        return verdict.parts();
    }

    /** Returns whether the item runs by a permit only; it may run without one otherwise, if nobody can grant one. */
    public boolean isConfined() {
        return verdict.kind() == PartVerdict.Kind.CONFINED;
    }
}
