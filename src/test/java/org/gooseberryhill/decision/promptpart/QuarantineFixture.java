package org.gooseberryhill.decision.promptpart;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.host.HostId;

/** Feeds the quarantine of one host with crashes and answers in virtual time. */
final class QuarantineFixture {
    static final ServiceVersion V1 = new ServiceVersion("s", "v1");
    static final ServiceVersion V2 = new ServiceVersion("s", "v2");

    final PromptPartQuarantine quarantine = new PromptPartQuarantine();
    long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private int crashes;

    void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** A prompt with the given shared parts and a last part of its own. */
    static Prompt prompt(String... shared) {
        return prompt("m", shared);
    }

    static Prompt promptOfModel(String model, String... shared) {
        return prompt(model, shared);
    }

    private static Prompt prompt(String model, String... shared) {
        List<PromptPart> parts = new ArrayList<>(
                Arrays.stream(shared).map(id -> new PromptPart(id, 10)).toList());
        parts.add(new PromptPart("own", 10));
        return new Prompt(model, 100, 20, parts);
    }

    static PromptPartKey key(String part) {
        return new PromptPartKey(V1, "m", part);
    }

    static Set<PromptPartKey> keys(String... parts) {
        return Arrays.stream(parts).map(QuarantineFixture::key).collect(Collectors.toSet());
    }

    /** An endpoint crashes now with runs that were sent some milliseconds ago. */
    List<BlockChange> crash(long sentAgoMillis, Prompt... prompts) {
        return crash(V1, sentAgoMillis, prompts);
    }

    List<BlockChange> crash(ServiceVersion version, long sentAgoMillis, Prompt... prompts) {
        long sentNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(sentAgoMillis);
        List<CrashedRun> runs = Arrays.stream(prompts)
                .map(prompt -> CrashedRun.of(prompt, version, sentNanos).orElseThrow())
                .toList();
        EndpointKey endpoint = new EndpointKey("e" + crashes++, 1);
        return quarantine.endpointCrashed(new EndpointCrash(endpoint, new HostId("h"), nowNanos, runs), nowNanos);
    }

    /** Crashes one after the other, each of a run that was sent after the crash before. */
    void crashInTurn(int times, Prompt... prompts) {
        for (int i = 0; i < times; i++) {
            advanceMillis(200);
            crash(100, prompts);
        }
    }

    /** This host delivers an answer to a request that was sent some milliseconds ago. */
    List<BlockChange> answer(long sentAgoMillis, Prompt prompt) {
        return quarantine.answered(prompt, V1, nowNanos - TimeUnit.MILLISECONDS.toNanos(sentAgoMillis), nowNanos);
    }

    PartVerdict.Kind kind(String... shared) {
        return verdict(V1, prompt(shared)).kind();
    }

    PartVerdict verdict(ServiceVersion version, Prompt prompt) {
        return quarantine.verdict(prompt, version, nowNanos);
    }
}
