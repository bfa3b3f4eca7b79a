package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** The baseline: nothing is turned away. Stateless. */
public final class NoOverloadPolicy implements OverloadPolicy {
    @Override
    public Optional<Refusal> refuse(OverloadCase overload) {
        return Optional.empty();
    }
}
