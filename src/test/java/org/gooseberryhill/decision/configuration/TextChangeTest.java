package org.gooseberryhill.decision.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TextChangeTest {
    @Test
    void onlyTheChangedLineIsSent() {
        TextChange change = TextChange.between("a\nb\nc\nd\n", "a\nB\nc\nd\n");

        assertThat(change.newLines()).containsExactly("B");
        assertThat(change.applyTo("a\nb\nc\nd\n")).contains("a\nB\nc\nd\n");
    }

    @Test
    void aChangeAppliedToAnotherTextGivesNoResult() {
        TextChange change = TextChange.between("a\nb\nc\n", "a\nB\nc\n");

        assertThat(change.applyTo("x\nb\nc\n")).isEmpty();
        assertThat(change.applyTo("")).isEmpty();
    }

    @Property(seed = "20261203")
    void anyChangeLeadsToTheNewText(@ForAll long seed) {
        Random random = new Random(seed);
        String oldText = text(random);
        String newText = text(random);

        assertThat(TextChange.between(oldText, newText).applyTo(oldText)).contains(newText);
    }

    private static String text(Random random) {
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(12); i > 0; i--) {
            text.append("ab\n".charAt(random.nextInt(3)));
        }
        return text.toString();
    }
}
