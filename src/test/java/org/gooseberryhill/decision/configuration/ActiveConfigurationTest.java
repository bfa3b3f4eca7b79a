package org.gooseberryhill.decision.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhill.decision.configuration.ActiveConfiguration.Offer;
import org.junit.jupiter.api.Test;

class ActiveConfigurationTest {
    private final ActiveConfiguration configuration = new ActiveConfiguration();

    /** A watcher that was partitioned offers an old text when it reconnects; the newer one stays active. */
    @Test
    void anOlderRevisionNeverReplacesANewerOne() {
        configuration.offer(7, text("new"));

        assertThat(configuration.offer(5, text("old"))).isEqualTo(Offer.NOT_NEWER);
        assertThat(configuration.configuration().models()).containsKey("new");
    }

    /**
     * An invalid text was written without the command line's validation: the last valid one stays active and the
     * findings are kept.
     */
    @Test
    void anInvalidTextIsNotApplied() {
        configuration.offer(7, text("new"));

        assertThat(configuration.offer(8, "services: [")).isEqualTo(Offer.INVALID);
        assertThat(configuration.revision()).isEqualTo(7);
        assertThat(configuration.findings()).isNotEmpty();
        assertThat(configuration.offer(9, text("mended"))).isEqualTo(Offer.APPLIED);
    }

    /**
     * Texts arrive by watch, push, heartbeat and read, late, twice and out of order; the greatest revision stays
     * active.
     */
    @Property(seed = "20261203")
    void inWhateverOrderTextsAreOfferedTheGreatestRevisionIsActive(@ForAll long seed) {
        List<Integer> offers = new ArrayList<>();
        for (int revision = 1; revision <= 10; revision++) {
            offers.add(revision);
            offers.add(revision);
        }
        Collections.shuffle(offers, new Random(seed));
        ActiveConfiguration host = new ActiveConfiguration();
        long previousRevision = 0;
        for (int revision : offers) {
            host.offer(revision, text("r" + revision));
            assertThat(host.revision()).isGreaterThanOrEqualTo(previousRevision);
            previousRevision = host.revision();
        }

        assertThat(host.configuration().models()).containsOnlyKeys("r10");
    }

    private static String text(String model) {
        return "models: {" + model + ": {version: \"1\"}}\n";
    }
}
