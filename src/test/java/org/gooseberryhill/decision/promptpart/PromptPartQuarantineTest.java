package org.gooseberryhill.decision.promptpart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.V1;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.V2;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.key;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.keys;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.prompt;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.promptOfModel;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.decision.promptpart.PartVerdict.Kind;
import org.junit.jupiter.api.Test;

class PromptPartQuarantineTest {
    private static final long TRIAL_DELAY_MILLIS = TimeUnit.MINUTES.toMillis(2);

    private final QuarantineFixture host = new QuarantineFixture();

    @Test
    void anUnknownPartIsSuspectedThenConfinedThenBlocked() {
        assertThat(host.kind("a")).isEqualTo(Kind.CLEAR);
        host.crashInTurn(1, prompt("a"));
        assertThat(host.kind("a")).isEqualTo(Kind.SUSPECT);
        host.crashInTurn(1, prompt("a"));
        assertThat(host.kind("a")).isEqualTo(Kind.CONFINED);
        host.crashInTurn(1, prompt("a"));
        assertThat(host.kind("a")).isEqualTo(Kind.BLOCKED);
    }

    /** Guards against a part that is refused because many endpoints were lost at the same moment. */
    @Test
    void crashesOfRunsThatWereSentBeforeTheFirstOneCountOnce() {
        for (int i = 0; i < 10; i++) {
            host.advanceMillis(10);
            host.crash(500, prompt("a"));
        }

        assertThat(host.kind("a")).isEqualTo(Kind.SUSPECT);
    }

    /** Guards against a popular part that is refused because many endpoints, each with it in flight, are lost at a time. */
    @Test
    void aPartThatWasServedBeforeIsNotBlockedForLossesOfManyEndpointsAtATime() {
        host.answer(50, prompt("a"));
        for (int loss = 0; loss < 4; loss++) {
            host.advanceMillis(1000);
            for (int endpoint = 0; endpoint < 4; endpoint++) {
                host.crash(100, prompt("a"));
            }
        }
        reassessAfterMillis(3000);

        assertThat(host.kind("a")).isEqualTo(Kind.CLEAR);
    }

    /** Guards against a part that is refused because it was in flight whenever several endpoints were lost at a time. */
    @Test
    void lossesOfSeveralEndpointsAtATimeCountOnceTogether() {
        for (int loss = 0; loss < 6; loss++) {
            host.advanceMillis(1000);
            host.crash(100, prompt("a"));
            host.crash(100, prompt("b" + loss));
        }

        assertThat(host.kind("a")).isEqualTo(Kind.SUSPECT);
    }

    @Test
    void theLastPartOfAPromptIsNeverSuspected() {
        host.crashInTurn(5, prompt("a"));

        assertThat(host.verdict(V1, prompt("own")).kind()).isEqualTo(Kind.CLEAR);
    }

    @Test
    void anAnswerToARunThatWasSentAfterTheCrashesClearsAPart() {
        host.crashInTurn(2, prompt("a"));
        host.advanceMillis(100);
        host.answer(50, prompt("a", "b"));

        assertThat(host.kind("a")).isEqualTo(Kind.CLEAR);
        host.crashInTurn(1, prompt("a"));
        assertThat(host.kind("a")).isEqualTo(Kind.CLEAR);
    }

    /** Guards against a part that counts as cleared by answers that endpoints began before it crashed them. */
    @Test
    void anAnswerToARunThatWasSentBeforeTheCrashesDoesNotClearAPart() {
        host.answer(50, prompt("a"));
        host.crashInTurn(5, prompt("a"));
        host.answer(5000, prompt("a"));
        assertThat(host.kind("a")).isEqualTo(Kind.CLEAR);

        reassessAfterMillis(2000);

        assertThat(host.kind("a")).isEqualTo(Kind.BLOCKED);
    }

    /** Guards against a part that is refused since its answers take longer than its endpoints' crashes are apart. */
    @Test
    void aPartWithLongAnswersIsNotBlockedBeforeOneOfThemCanEnd() {
        host.answer(30_000, prompt("a"));
        host.crashInTurn(8, prompt("a"));
        reassessAfterMillis(20_000);

        assertThat(host.kind("a")).isEqualTo(Kind.CLEAR);
    }

    /** Guards against a popular part that is refused because the part beside it crashes endpoints. */
    @Test
    void aPartThatIsServedMeanwhileIsNotBlockedWithTheOneBesideIt() {
        host.answer(50, prompt("popular"));
        for (int i = 0; i < 6; i++) {
            host.crashInTurn(1, prompt("popular", "bad"), prompt("popular", "rare" + i));
            host.advanceMillis(100);
            host.answer(50, prompt("popular"));
        }
        reassessAfterMillis(3000);

        assertThat(host.kind("popular")).isEqualTo(Kind.CLEAR);
        assertThat(host.kind("popular", "bad")).isEqualTo(Kind.BLOCKED);
    }

    /** Guards against a sound part that stays refused since it was in all crashing requests so far. */
    @Test
    void partsThatNoCrashTellsApartAreBlockedTogetherOnly() {
        host.crashInTurn(3, prompt("b", "bad"));

        assertThat(host.kind("b", "bad")).isEqualTo(Kind.BLOCKED);
        assertThat(host.kind("b")).isEqualTo(Kind.CONFINED);
        assertThat(host.kind("bad")).isEqualTo(Kind.CONFINED);

        host.advanceMillis(100);
        host.answer(50, prompt("b"));

        assertThat(host.kind("b")).isEqualTo(Kind.CLEAR);
        assertThat(host.kind("bad")).isEqualTo(Kind.BLOCKED);
    }

    @Test
    void aCrashWithOneOfThePartsThatAreBlockedTogetherBlocksItAlone() {
        host.crashInTurn(3, prompt("b", "bad"));
        host.crashInTurn(1, prompt("c", "bad"));

        assertThat(host.kind("bad")).isEqualTo(Kind.BLOCKED);
        assertThat(host.kind("b")).isNotEqualTo(Kind.BLOCKED);
    }

    /** Guards against sound requests that are refused after crashes which a blocked part explains. */
    @Test
    void aCrashWithABlockedPartIsNoEvidenceAgainstAnother() {
        host.crashInTurn(3, prompt("bad"));
        host.crashInTurn(3, prompt("bad"), prompt("rare"));

        assertThat(host.kind("rare")).isEqualTo(Kind.CLEAR);
    }

    /** Guards against a part that stays refused although a part that was found later explains all its crashes. */
    @Test
    void aBlockIsLiftedThatALaterOneWithMoreCrashesExplains() {
        host.answer(50, prompt("first"));
        host.answer(50, prompt("second"));
        host.crashInTurn(5, prompt("first"), prompt("second"));
        reassessAfterMillis(2000);
        assertThat(host.kind("first")).isEqualTo(Kind.BLOCKED);
        host.crashInTurn(6, prompt("second"));

        List<BlockChange> changes = reassessAfterMillis(2000);

        assertThat(changes).extracting(BlockChange::kind).contains(BlockChange.Kind.LIFTED);
        assertThat(host.kind("first")).isEqualTo(Kind.CLEAR);
        assertThat(host.kind("second")).isEqualTo(Kind.BLOCKED);
    }

    /** Guards against a crashing part that is let through since a popular one was in flight at all its crashes. */
    @Test
    void aPartThatWasServedBeforeDoesNotLiftTheBlockOfOneThatNeverWas() {
        host.answer(50, prompt("popular"));
        host.crashInTurn(3, prompt("popular", "bad"));
        host.crashInTurn(6, prompt("popular"));
        reassessAfterMillis(2000);

        assertThat(host.kind("bad")).isEqualTo(Kind.BLOCKED);
    }

    private List<BlockChange> reassessAfterMillis(long millis) {
        host.advanceMillis(millis);
        return host.quarantine.reassess(host.nowNanos);
    }

    @Test
    void aPartIsBlockedForItsServiceAndModelOnly() {
        host.crashInTurn(3, prompt("a"));

        assertThat(host.verdict(V1, promptOfModel("other", "a")).kind()).isEqualTo(Kind.CLEAR);
    }

    @Test
    void aPartThatIsBlockedRunsConfinedAtAnotherVersion() {
        host.crashInTurn(3, prompt("a"));

        assertThat(host.verdict(V2, prompt("a")).kind()).isEqualTo(Kind.CONFINED);
    }

    /** Guards against a part that crashes endpoints of each new version as often as those of the first. */
    @Test
    void theFirstCrashAtAnotherVersionBlocksThePartThere() {
        host.crashInTurn(3, prompt("a"));
        host.advanceMillis(1000);
        host.crash(V2, 100, prompt("a"));

        assertThat(host.verdict(V2, prompt("a")).kind()).isEqualTo(Kind.BLOCKED);
    }

    @Test
    void anAnswerAtAnotherVersionClearsThePartThereOnly() {
        host.crashInTurn(3, prompt("a"));
        host.advanceMillis(1000);
        host.quarantine.answered(prompt("a"), V2, host.nowNanos, host.nowNanos);

        assertThat(host.verdict(V2, prompt("a")).kind()).isEqualTo(Kind.CLEAR);
        assertThat(host.kind("a")).isEqualTo(Kind.BLOCKED);
    }

    /** Guards against hosts that forget what another one has told of another version. */
    @Test
    void anAnswerOfAnotherHostAtAnotherVersionClearsThePartThereForGood() {
        host.crashInTurn(3, prompt("a"));
        host.advanceMillis(1000);
        PromptPartKey atV2 = new PromptPartKey(V2, "m", "a");
        host.quarantine.servedElsewhere(List.of(new ServedPart(atV2, host.nowNanos)));
        host.quarantine.reassess(host.nowNanos);

        assertThat(host.verdict(V2, prompt("a")).kind()).isEqualTo(Kind.CLEAR);
    }

    @Test
    void aBlockedPartIsTriedAfterAWhileAndBlockedForLongerIfItCrashes() {
        host.crashInTurn(3, prompt("a"));
        assertThat(host.verdict(V1, prompt("a")).retryAfterMillis()).isEqualTo(TRIAL_DELAY_MILLIS);

        host.advanceMillis(TRIAL_DELAY_MILLIS + 500);
        assertThat(host.kind("a")).isEqualTo(Kind.CONFINED);

        host.crash(100, prompt("a"));
        assertThat(host.kind("a")).isEqualTo(Kind.BLOCKED);
        host.advanceMillis(TRIAL_DELAY_MILLIS + 500);
        assertThat(host.kind("a")).isEqualTo(Kind.BLOCKED);
    }

    /** Guards against a trial for ever and ever of a part that nobody mends. */
    @Test
    void afterTheLastTrialOnlyAnotherVersionIsTried() {
        host.crashInTurn(3, prompt("a"));
        for (int trial = 0; trial < 2; trial++) {
            host.advanceMillis(host.verdict(V1, prompt("a")).retryAfterMillis() + 500);
            assertThat(host.kind("a")).isEqualTo(Kind.CONFINED);
            host.crash(100, prompt("a"));
        }
        host.advanceMillis(TimeUnit.HOURS.toMillis(23));

        assertThat(host.kind("a")).isEqualTo(Kind.BLOCKED);
        assertThat(host.verdict(V2, prompt("a")).kind()).isEqualTo(Kind.CONFINED);
    }

    @Test
    void aTrialThatIsServedLiftsTheBlock() {
        host.crashInTurn(3, prompt("a"));
        host.advanceMillis(TRIAL_DELAY_MILLIS + 500);

        List<BlockChange> changes = host.answer(100, prompt("a"));

        assertThat(changes).extracting(BlockChange::kind).containsExactly(BlockChange.Kind.LIFTED);
        assertThat(host.kind("a")).isEqualTo(Kind.CLEAR);
    }

    @Test
    void aHostTellsOnceOfAPartThatItHasServed() {
        host.answer(50, prompt("a"));
        host.crashInTurn(1, prompt("a"));

        assertThat(host.quarantine.hasUntoldServedParts()).isTrue();
        assertThat(host.quarantine.takeUntoldServedParts())
                .extracting(ServedPart::part)
                .containsExactly(key("a"));
        host.answer(50, prompt("a"));
        assertThat(host.quarantine.hasUntoldServedParts()).isFalse();
    }

    /** Guards against messages from each host for each answer while endpoints crash. */
    @Test
    void aHostDoesNotTellWhatAnotherHasTold() {
        host.answer(50, prompt("a"));
        host.crashInTurn(1, prompt("a"));
        host.quarantine.servedElsewhere(List.of(new ServedPart(key("a"), host.nowNanos)));

        assertThat(host.quarantine.hasUntoldServedParts()).isFalse();
    }

    /** Guards against a popular part that is refused since hosts stop telling that it is served while crashes go on. */
    @Test
    void aHostTellsAgainOfAPartThatGoesOnBeingInFlightAtCrashes() {
        host.answer(50, prompt("a"));
        host.crashInTurn(3, prompt("a"));
        host.quarantine.takeUntoldServedParts();
        host.answer(50, prompt("a"));
        host.crashInTurn(2, prompt("a"));

        assertThat(host.quarantine.hasUntoldServedParts()).isTrue();
    }

    @Test
    void nothingIsKeptOrToldWhereNoEndpointCrashes() {
        host.answer(50, prompt("a"));

        assertThat(host.quarantine.isIdle()).isTrue();
        assertThat(host.quarantine.hasUntoldServedParts()).isFalse();
    }

    /** Guards against a caller who makes up parts without end. */
    @Test
    void aBlockSurvivesAnyNumberOfMadeUpParts() {
        host.crashInTurn(3, prompt("bad"));
        for (int i = 0; i < 10_000; i++) {
            host.answer(50, prompt("made-up-" + i));
            if (i % 20 == 0) {
                host.advanceMillis(50);
                host.crash(10, prompt("crashed-" + i));
            }
        }

        assertThat(host.kind("bad")).isEqualTo(Kind.BLOCKED);
    }

    /** Guards against a part that is missed since its prompt has very many parts. */
    @Test
    void aPartNearEitherEndOfALongPromptIsRecognised() {
        String[] parts = new String[200];
        for (int i = 0; i < 3; i++) {
            for (int place = 0; place < parts.length; place++) {
                parts[place] = "p" + i + "-" + place;
            }
            parts[parts.length - 1] = "bad";
            host.crashInTurn(1, prompt(parts));
        }

        assertThat(host.kind("bad")).isEqualTo(Kind.BLOCKED);
    }

    @Test
    void theReasonsTellWhyOtherPartsAreNotBlocked() {
        host.answer(50, prompt("popular"));
        host.crashInTurn(2, prompt("popular", "bad"));
        List<BlockChange> changes = crashAgain();

        PartBlock block = changes.get(0).block();
        assertThat(block.parts()).isEqualTo(keys("bad"));
        assertThat(block.crashes()).hasSize(3);
        assertThat(host.quarantine.ruledOut(block))
                .containsEntry("popular", "served")
                .containsEntry("rare", "in flight at 1 of 3 crashes");
    }

    private List<BlockChange> crashAgain() {
        host.advanceMillis(200);
        return host.crash(100, prompt("popular", "bad"), prompt("rare"));
    }

    @Test
    void aPromptOfOnePartIsNeverSuspected() {
        Prompt single = new Prompt("m", 1, 1, List.of(new PromptPart("a", 1)));

        assertThat(CrashedRun.of(single, V1, 0)).isEmpty();
    }
}
