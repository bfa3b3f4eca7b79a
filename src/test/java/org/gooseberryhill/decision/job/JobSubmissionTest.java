package org.gooseberryhill.decision.job;

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
import org.gooseberryhill.decision.job.JobSubmission.Step;

class JobSubmissionTest {
    private static final String KEY = "job";

    /**
     * The same job is submitted through several hosts at once, together with another body under the same id, while
     * answers are lost. All accepted submissions must be the same job, and the other body must never be mistaken for
     * it.
     */
    @Property(seed = "20261203")
    void allAcceptedSubmissionsOfAnIdAreTheSameJob(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyValue<JobRecord> store = new FakeKeyValue<>(random, 25);
        List<Submission> submissions = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            submissions.add(new Submission(i == 0 ? "other" : "same"));
        }
        for (int step = 0; step < 100; step++) {
            submissions.get(random.nextInt(submissions.size())).advance(store);
            if (random.nextInt(4) == 0) {
                store.applyDelayedWrite();
            }
        }

        Optional<String> storedHash =
                store.peek(KEY).map(stored -> stored.value().bodyHash());
        for (Submission submission : submissions) {
            if (submission.step == Step.ACCEPTED || submission.step == Step.SAME_JOB) {
                assertThat(storedHash).contains(submission.hash);
            }
            if (submission.step == Step.CONFLICT) {
                assertThat(storedHash).isPresent().isNotEqualTo(Optional.of(submission.hash));
            }
        }
    }

    /** One submission through one host. */
    private static final class Submission {
        private final String hash;
        private final JobSubmission submission;
        private Step step;

        Submission(String hash) {
            this.hash = hash;
            submission = new JobSubmission(hash);
            step = submission.begin();
        }

        void advance(FakeKeyValue<JobRecord> store) {
            if (step == Step.CREATE) {
                JobRecord record = new JobRecord(JobState.RUNNING, hash, "s", "m", 0, 0, 1, 1, List.of("c"));
                step = store.write(List.of(Condition.absent(KEY)), Map.of(KEY, record))
                        .map(submission::created)
                        .orElseGet(submission::onNoAnswer);
            } else if (step == Step.READ) {
                step = store.read(KEY)
                        .map(found -> submission.read(found.map(FakeKeyValue.Stored::value)))
                        .orElseGet(submission::onNoAnswer);
            }
        }
    }
}
