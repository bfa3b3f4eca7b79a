package org.gooseberryhill.decision.job;

import java.util.List;
import java.util.Optional;

/** A policy that chooses the job whose item runs next, among jobs that have a waiting item. */
public interface DispatchOrder {
    /** Returns the job to take the next item from; empty only if the list is empty. */
    Optional<OwnedJob> pick(List<OwnedJob> jobs, DispatchContext context);
}
