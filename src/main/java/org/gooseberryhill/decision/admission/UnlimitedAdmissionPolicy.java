package org.gooseberryhill.decision.admission;

import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** Admits every request; the baseline for comparisons. Stateless. */
public final class UnlimitedAdmissionPolicy implements AdmissionPolicy {
    @Override
    public Optional<Refusal> refuse(AdmissionCase admission) {
        return Optional.empty();
    }
}
