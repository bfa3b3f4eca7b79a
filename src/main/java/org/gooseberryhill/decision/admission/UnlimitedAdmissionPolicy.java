package org.gooseberryhill.decision.admission;

import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** The baseline: everything is taken in. Stateless. */
public final class UnlimitedAdmissionPolicy implements AdmissionPolicy {
    @Override
    public Optional<Refusal> refuse(AdmissionCase admission) {
        return Optional.empty();
    }
}
