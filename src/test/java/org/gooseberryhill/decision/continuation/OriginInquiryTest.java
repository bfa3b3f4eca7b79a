package org.gooseberryhill.decision.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.directory.ServiceVersion;
import org.junit.jupiter.api.Test;

class OriginInquiryTest {
    private static final ServiceVersion V1 = new ServiceVersion("s", "v1");
    private static final ServiceVersion V2 = new ServiceVersion("s", "v2");
    private static final RegisteredVersions ONLY_V1 = new RegisteredVersions(Set.of("v1"), true);
    private static final RegisteredVersions V1_SINCE_START = new RegisteredVersions(Set.of("v1"), false);
    private static final RegisteredVersions BOTH = new RegisteredVersions(Set.of("v1", "v2"), true);

    @Test
    void aVersionThatThisHostRecordedNeedsNoOtherHost() {
        OriginInquiry inquiry = inquiry(known(V1, BOTH));

        assertThat(inquiry.isDecidedAlone()).isTrue();
        assertThat(inquiry.beganAt()).contains(V1);
    }

    @Test
    void aVersionThatAnotherHostRecordedIsTakenAtOnce() {
        OriginInquiry inquiry = asking(3, unknown(BOTH));

        inquiry.answered(known(V2, BOTH));

        assertThat(inquiry.isDecided()).isTrue();
        assertThat(inquiry.beganAt()).contains(V2);
    }

    /** Guards against a stream that goes on at either version when hosts have recorded different ones for its id. */
    @Test
    void contradictingRecordsTellNothing() {
        OriginInquiry inquiry = asking(2, unknown(BOTH));

        inquiry.answered(known(V1, BOTH));
        inquiry.answered(known(V2, BOTH));

        assertThat(inquiry.beganAt()).isEmpty();
    }

    @Test
    void anUnknownStreamIsNotContinuedWhileTwoVersionsServe() {
        OriginInquiry inquiry = asking(1, unknown(BOTH));
        inquiry.registrationsRead(unknown(BOTH), true);

        inquiry.answered(unknown(BOTH));

        assertThat(inquiry.isDecided()).isTrue();
        assertThat(inquiry.beganAt()).isEmpty();
    }

    @Test
    void anUnknownStreamGoesOnAtTheOnlyVersionThatThereWas() {
        OriginInquiry inquiry = asking(3, unknown(ONLY_V1));

        inquiry.answered(unknown(ONLY_V1));
        inquiry.answered(unknown(V1_SINCE_START));
        inquiry.registrationsRead(unknown(ONLY_V1), true);

        assertThat(inquiry.beganAt()).contains(V1);
    }

    /** Guards against a host that has not heard of a second version yet. */
    @Test
    void anUnknownStreamIsNotContinuedIfOneHostHasSeenAnotherVersion() {
        OriginInquiry inquiry = asking(2, unknown(ONLY_V1));

        inquiry.answered(unknown(ONLY_V1));
        inquiry.answered(unknown(BOTH));
        inquiry.registrationsRead(unknown(ONLY_V1), true);

        assertThat(inquiry.beganAt()).isEmpty();
    }

    /** Guards against a host that is cut off and has missed the registrations of another version. */
    @Test
    void anUnknownStreamIsNotContinuedWithoutTheAnswersOfMostHosts() {
        OriginInquiry inquiry = asking(3, unknown(ONLY_V1));
        inquiry.registrationsRead(unknown(ONLY_V1), true);

        inquiry.answered(unknown(ONLY_V1));

        assertThat(inquiry.isDecided()).isFalse();
        assertThat(inquiry.beganAt()).isEmpty();
    }

    @Test
    void hostsThatHaveEndedNeedNotAnswer() {
        OriginInquiry inquiry = asking(3, unknown(ONLY_V1));

        inquiry.hostEnded();
        inquiry.hostEnded();
        inquiry.answered(unknown(ONLY_V1));
        inquiry.registrationsRead(unknown(ONLY_V1), true);

        assertThat(inquiry.isDecided()).isTrue();
        assertThat(inquiry.beganAt()).contains(V1);
    }

    /** Guards against hosts out of step that confirm each other, while a version joins of which they do not know. */
    @Test
    void theOnlyVersionCountsNotBeforeTheRegistrationsAreReadAnew() {
        OriginInquiry inquiry = asking(3, unknown(ONLY_V1));
        inquiry.hostEnded();
        inquiry.hostEnded();
        inquiry.answered(unknown(ONLY_V1));

        assertThat(inquiry.beganAt()).isEmpty();
        assertThat(inquiry.isDecided()).isFalse();
        assertThat(inquiry.needsRegistrations()).isTrue();

        inquiry.registrationsRead(unknown(BOTH), true);

        assertThat(inquiry.isDecided()).isTrue();
        assertThat(inquiry.beganAt()).isEmpty();
    }

    /** Guards against a host that is cut off from all others, which it takes for ended, and from the registrations. */
    @Test
    void theOnlyVersionDoesNotCountWhileTheRegistrationsCanNotBeRead() {
        OriginInquiry inquiry = inquiry(unknown(ONLY_V1));
        inquiry.registrationsNotRead();

        assertThat(inquiry.isDecided()).isTrue();
        assertThat(inquiry.beganAt()).isEmpty();
    }

    /** Guards against a version that came after the reports of others end and went before those of this host begin. */
    @Test
    void reportsOfOthersDoNotCountBeforeThisHostHasFollowedTheRegistrationsItself() {
        OriginInquiry inquiry = asking(1, unknown(V1_SINCE_START));
        inquiry.answered(unknown(ONLY_V1));
        inquiry.registrationsRead(unknown(V1_SINCE_START), false);

        assertThat(inquiry.beganAt()).isEmpty();
    }

    @Test
    void aRecordedVersionNeedsNoRegistrations() {
        OriginInquiry inquiry = asking(1, unknown(ONLY_V1));
        inquiry.registrationsNotRead();

        inquiry.answered(known(V1, ONLY_V1));

        assertThat(inquiry.beganAt()).contains(V1);
    }

    /** Guards against a host that is cut off and takes its lost connections for hosts that have ended. */
    @Test
    void anUnknownStreamIsNotContinuedWhenAllAskedHostsSeemToHaveEnded() {
        OriginInquiry inquiry = asking(2, unknown(ONLY_V1));
        inquiry.registrationsRead(unknown(ONLY_V1), true);

        inquiry.hostEnded();
        inquiry.hostEnded();

        assertThat(inquiry.isDecided()).isTrue();
        assertThat(inquiry.beganAt()).isEmpty();
    }

    /** Guards against a guess after all hosts have started anew. */
    @Test
    void anUnknownStreamIsNotContinuedWhileNoHostKnowsTheWholeTime() {
        OriginInquiry inquiry = asking(1, unknown(V1_SINCE_START));
        inquiry.registrationsRead(unknown(V1_SINCE_START), true);

        inquiry.answered(unknown(V1_SINCE_START));

        assertThat(inquiry.beganAt()).isEmpty();
    }

    @Test
    void aHostWithoutOthersDecidesByWhatItKnows() {
        OriginInquiry inquiry = inquiry(unknown(ONLY_V1));
        inquiry.registrationsRead(unknown(ONLY_V1), true);
        OriginInquiry afterStart = inquiry(unknown(V1_SINCE_START));
        afterStart.registrationsRead(unknown(V1_SINCE_START), true);

        assertThat(inquiry.beganAt()).contains(V1);
        assertThat(afterStart.beganAt()).isEmpty();
    }

    @Test
    void anUnknownStreamOfARouteToSeveralServicesIsNotContinued() {
        OriginInquiry inquiry = new OriginInquiry(Optional.empty(), unknown(RegisteredVersions.NONE));
        inquiry.registrationsRead(unknown(ONLY_V1), true);

        assertThat(inquiry.beganAt()).isEmpty();
    }

    private static OriginInquiry asking(int hosts, OriginReport own) {
        OriginInquiry inquiry = inquiry(own);
        for (int i = 0; i < hosts; i++) {
            inquiry.asked();
        }
        return inquiry;
    }

    private static OriginInquiry inquiry(OriginReport own) {
        return new OriginInquiry(Optional.of("s"), own);
    }

    private static OriginReport known(ServiceVersion version, RegisteredVersions registered) {
        return new OriginReport(Set.of(version), registered);
    }

    private static OriginReport unknown(RegisteredVersions registered) {
        return new OriginReport(Set.of(), registered);
    }
}
