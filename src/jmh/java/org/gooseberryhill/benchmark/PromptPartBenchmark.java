package org.gooseberryhill.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.decision.promptpart.CrashedRun;
import org.gooseberryhill.decision.promptpart.EndpointCrash;
import org.gooseberryhill.decision.promptpart.PartVerdict;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.host.HostId;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures what the parts of prompts that may crash endpoints cost each request. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PromptPartBenchmark {
    private static final int PROMPTS = 4096;
    private static final int RUNS_PER_CRASH = 5;
    private static final int FIRST_PARTS = 6;
    private static final int SUBJECTS = 1500;
    private static final ServiceVersion VERSION = new ServiceVersion("s", "v1");

    @Param({"0", "20"})
    private int crashes;

    private PromptPartQuarantine quarantine;
    private List<Prompt> prompts;
    private int next;

    /** Creates the prompts, and the crashes of endpoints that ran some of them. */
    @Setup
    public void setUp() {
        quarantine = new PromptPartQuarantine();
        prompts = new ArrayList<>();
        for (int i = 0; i < PROMPTS; i++) {
            prompts.add(new Prompt(
                    "m",
                    450,
                    25,
                    List.of(
                            new PromptPart("first-" + i % FIRST_PARTS, 200),
                            new PromptPart("subject-" + i % SUBJECTS, 150),
                            new PromptPart("own-" + i, 100))));
        }
        for (int crash = 0; crash < crashes; crash++) {
            List<CrashedRun> runs = new ArrayList<>();
            for (int run = 0; run < RUNS_PER_CRASH; run++) {
                runs.add(CrashedRun.of(prompts.get(crash * RUNS_PER_CRASH + run), VERSION, 0)
                        .orElseThrow());
            }
            quarantine.endpointCrashed(new EndpointCrash(new EndpointKey("e" + crash, 1), new HostId("h"), 1, runs), 1);
        }
    }

    /** Decides how a request must be treated. */
    @Benchmark
    public PartVerdict verdict() {
        return quarantine.verdict(prompts.get(next++ % PROMPTS), VERSION, 2);
    }

    /** Records an answer. */
    @Benchmark
    public boolean answered() {
        quarantine.answered(prompts.get(next++ % PROMPTS), VERSION, 0, 1);
        return quarantine.hasUntoldServedParts();
    }
}
