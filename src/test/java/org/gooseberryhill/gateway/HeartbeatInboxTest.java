package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.junit.jupiter.api.Test;

class HeartbeatInboxTest {
    private static final HostId FIRST = new HostId("front-a-1");
    private static final HostId SECOND = new HostId("front-b-1");

    private final HeartbeatInbox inbox = new HeartbeatInbox();
    private final List<String> drained = new ArrayList<>();

    /** Guards against taking the work of a restarted process for that of the process before. */
    @Test
    void heartbeatsOfAHostAreDrainedInTheOrderOfTheirArrival() {
        inbox.addHeartbeat(FIRST, heartbeat("start-1"));
        inbox.addHeartbeat(SECOND, heartbeat("start-7"));
        inbox.addHeartbeat(FIRST, heartbeat("start-2"));
        inbox.addAnswer(SECOND);

        drain();

        assertThat(drained)
                .containsExactly("front-a-1 start-1", "front-b-1 start-7", "front-a-1 start-2", "front-b-1 answered");
    }

    @Test
    void whatWasDrainedIsNotDrainedAgain() {
        inbox.addHeartbeat(FIRST, heartbeat("start-1"));
        inbox.addAnswer(SECOND);
        drain();
        drained.clear();

        drain();

        assertThat(drained).isEmpty();
    }

    private void drain() {
        inbox.drain(
                (host, heartbeat) -> drained.add(host + " " + heartbeat.processStart()),
                host -> drained.add(host + " answered"));
    }

    private static GatewayMessage.HostHeartbeat heartbeat(String processStart) {
        return new GatewayMessage.HostHeartbeat(processStart, false, true);
    }
}
