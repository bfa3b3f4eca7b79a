package org.gooseberryhill.decision.admission;

import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** Decides whether a request is taken in. */
public interface AdmissionPolicy {
    /** Empty to take the request in; else the refusal, to be given at once. */
    Optional<Refusal> refuse(AdmissionCase admission);
}
