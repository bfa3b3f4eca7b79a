package org.gooseberryhill.decision.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests max-min fair shares by weight. */
class FairLevelTest {
    private static final double TOLERANCE = 1e-9;

    /** Guards against requests that are refused although all of them can be served. */
    @Test
    void demandsThatCanAllBeMetAreNotBounded() {
        assertThat(FairLevel.of(List.of(demand(4, 1), demand(5, 1)), 10)).isInfinite();
    }

    /** Guards against shares that stay unused while others ask for more. */
    @Test
    void whatAnAccountDoesNotAskForGoesToTheOthersByWeight() {
        double level = FairLevel.of(List.of(demand(1, 3), demand(100, 1), demand(100, 2)), 10);

        assertThat(level).isCloseTo(3, within(TOLERANCE));
    }

    /** Guards against a typical level that a single surging account moves. */
    @Test
    void theTypicalLevelIsThatOfTheAccountInTheMiddleOfTheWeight() {
        assertThat(FairLevel.typical(List.of(demand(2, 1), demand(40, 2), demand(6, 3))))
                .isEqualTo(2);
    }

    private static FairLevel.Demand demand(double perSecond, double weight) {
        return new FairLevel.Demand(perSecond, weight);
    }
}
