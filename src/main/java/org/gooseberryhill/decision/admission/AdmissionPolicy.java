package org.gooseberryhill.decision.admission;

import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** Decides whether a request is admitted. */
public interface AdmissionPolicy {
    /** Returns empty if the request is admitted, otherwise the refusal to return at once. */
    Optional<Refusal> refuse(AdmissionCase admission);
}
