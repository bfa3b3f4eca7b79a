package org.gooseberryhill.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.gooseberryhill.decision.configuration.TextChange;
import org.gooseberryhill.decision.job.ItemEnd;
import org.gooseberryhill.decision.job.WorkItem;
import org.gooseberryhill.decision.membership.HostState;
import org.gooseberryhill.decision.membership.Rumor;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.HybridTimestamp;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PeerCodecTest {
    private static final HostId HOST = new HostId("h");

    static Stream<PeerMessage> messages() {
        return Stream.of(
                new PeerMessage.Ack(),
                new PeerMessage.Failed("why"),
                new PeerMessage.Heartbeat(3, true, 9, List.of(new Rumor(HOST, HostState.SUSPECT, 4)), Map.of("s", 5L)),
                new PeerMessage.ProbeThrough(HOST),
                new PeerMessage.ConfigurationPush(7, "text\n"),
                new PeerMessage.ConfigurationChange(6, 7, TextChange.between("a\nb", "a\nc")),
                new PeerMessage.ConfigurationAsk(6),
                new PeerMessage.OnlineLoad(Map.of("e", 2), List.of("e")),
                new PeerMessage.EndpointLoads(Map.of("e", 2), Map.of("e", 1), List.of("x")),
                new PeerMessage.LeavingNotice("e", true),
                new PeerMessage.CrashNotice("e", List.of("f")),
                new PeerMessage.SuspectPermitAsk("s", "f", List.of("e")),
                new PeerMessage.SuspectPermit(Optional.of("e")),
                new PeerMessage.SuspectPermit(Optional.empty()),
                new PeerMessage.SuspectRelease("s", "f", true),
                new PeerMessage.JobNotice("c/j", false),
                new PeerMessage.WorkNotice("s", 8),
                new PeerMessage.ItemsAsk("s", 4),
                new PeerMessage.Items(List.of(new WorkItem("c/j", 1, 2, 3, "{}", "so far", 2, true))),
                new PeerMessage.ItemReport("c/j", 1, 2, 3, ItemEnd.YIELDED, "so far", 2),
                new PeerMessage.ItemsCancel("c/j", 2),
                new PeerMessage.ItemsHeldAsk("c/j", 2),
                new PeerMessage.ItemsHeld(List.of(3L)),
                new PeerMessage.SegmentAsk("n"),
                new PeerMessage.Segment(Optional.empty()),
                new PeerMessage.SegmentHave(List.of("n")));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void aMessageComesOutAsItWentIn(PeerMessage message) throws IOException {
        PeerFrame frame = new PeerFrame(5, true, HybridTimestamp.ofMillis(1000), HOST, message);

        assertThat(PeerCodec.decode(PeerCodec.encode(frame))).isEqualTo(frame);
    }
}
