package org.gooseberryhill.decision.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhill.decision.FakeKeyValue;
import org.gooseberryhill.decision.FakeKeyValue.Condition;
import org.gooseberryhill.decision.configuration.ConfigurationEdit.Step;

/**
 * Checks concurrent edits of the same text while answers are lost and writes arrive late: an accepted edit must be the
 * stored one, and no edit may overwrite one that its author has not seen.
 */
class ConfigurationEditProperties {
    private static final String KEY = "configuration";

    @Property(seed = "20261203")
    void atMostOneOfSeveralEditsOfTheSameTextIsAccepted(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyValue<ConfigurationRecord> store = new FakeKeyValue<>(random, 30);
        List<Operator> operators = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            operators.add(new Operator("edit-" + i));
        }
        for (int step = 0; step < 100; step++) {
            operators.get(random.nextInt(operators.size())).advance(store);
            if (random.nextInt(5) == 0) {
                store.applyDelayedWrite();
            }
        }

        List<Operator> accepted = operators.stream()
                .filter(operator -> operator.step == Step.ACCEPTED)
                .toList();
        assertThat(accepted).hasSizeLessThanOrEqualTo(1);
        accepted.forEach(operator ->
                assertThat(store.peek(KEY).orElseThrow().value().editId()).isEqualTo(operator.record.editId()));
    }

    /** An operator who edits the configuration before any text is stored. */
    private static final class Operator {
        private final ConfigurationRecord record;
        private final ConfigurationEdit edit;
        private Step step;

        Operator(String editId) {
            record = new ConfigurationRecord(editId, "operator", 0, "");
            edit = new ConfigurationEdit(editId, 0);
            step = edit.begin();
        }

        void advance(FakeKeyValue<ConfigurationRecord> store) {
            if (step == Step.WRITE) {
                Optional<Boolean> answer = store.write(List.of(Condition.modifiedAt(KEY, 0)), Map.of(KEY, record));
                step = answer.map(edit::written).orElseGet(edit::onNoAnswer);
            } else if (step == Step.READ) {
                step = store.read(KEY)
                        .map(found -> edit.read(
                                found.map(FakeKeyValue.Stored::value),
                                found.map(FakeKeyValue.Stored::modRevision).orElse(0L)))
                        .orElseGet(edit::onNoAnswer);
            }
        }
    }
}
