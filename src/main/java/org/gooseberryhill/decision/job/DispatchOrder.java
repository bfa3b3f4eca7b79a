package org.gooseberryhill.decision.job;

import java.util.List;
import java.util.Optional;

/** Chooses the job whose item runs next, among jobs that have a waiting item. */
public interface DispatchOrder {
    /** The job to take from; empty only if the list is. */
    Optional<OwnedJob> pick(List<OwnedJob> jobs, DispatchContext context);
}
