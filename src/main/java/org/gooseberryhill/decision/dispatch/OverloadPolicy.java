package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** Decides whether a request is turned away because of load. */
public interface OverloadPolicy {
    /** Empty to take the request in; else the refusal, to be given at once. */
    Optional<Refusal> refuse(OverloadCase overload);
}
