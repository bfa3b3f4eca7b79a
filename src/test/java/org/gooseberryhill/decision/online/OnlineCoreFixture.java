package org.gooseberryhill.decision.online;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.ConfigurationReader;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.zone.AvailabilityZone;

/** Creates cores of an entry host with a few endpoints, and requests for them. */
final class OnlineCoreFixture {
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private OnlineCoreFixture() {}

    static Configuration configuration(int endpoints) {
        StringBuilder text =
                new StringBuilder("models: {m: {version: \"1\"}}\nservices: {s: {model: m}}\nendpoints:\n");
        for (int i = 0; i < endpoints; i++) {
            text.append("  e%d: {service: s, address: \"10.0.0.1:%d\", zone: a, slots: 4}\n".formatted(i, 9000 + i));
        }
        text.append("callers: {c: {key-sha256: \"").append("0".repeat(64)).append("\", services: [s]}}\n");
        return ConfigurationReader.read("test", text.toString()).get();
    }

    static OnlineCore core(int endpoints) {
        OnlineCore core = new OnlineCore(
                new AvailabilityZone("a"),
                OnlinePolicies.defaults(),
                new CrashSuspects(TimeUnit.MINUTES.toMillis(10), 1000));
        core.configure(configuration(endpoints));
        return core;
    }

    static OnlineRequestInfo requestInfo(int number, boolean idempotent, long deadlineNanos) {
        byte[] body = ("request " + number).getBytes(StandardCharsets.UTF_8);
        return new OnlineRequestInfo("r" + number, "c", "s", Fingerprint.of("s", body), 0, idempotent, deadlineNanos);
    }
}
