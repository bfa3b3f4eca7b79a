package org.gooseberryhill.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.decision.configuration.ConfigurationEdit.Step;
import org.gooseberryhill.decision.order.ModelHolding;
import org.gooseberryhill.entry.EntryProcess;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.standin.EngineStandin;
import org.gooseberryhill.standin.KeyValueFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that edits of the configuration reach all hosts of a small system while parts of it fail. */
class ConfigurationPropagationTest {
    @TempDir
    private Path folder;

    private SystemFixture fixture;

    @BeforeEach
    void start() {
        fixture = new SystemFixture(folder, 4, SystemFixture.FAST);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void anAcceptedEditIsInForceOnAllHosts() {
        fixture.system.applyConfiguration(configurationWithVersion("4"));

        awaitVersion("4", fixture.processes());
    }

    /** Two operators edit the same revision concurrently: one edit is accepted, the other gets a conflict. */
    @Test
    void oneOfTwoRacingEditsIsAccepted() {
        List<Step> steps = new ArrayList<>();
        try (PlatformOptions.Connection connection =
                new PlatformOptions.Connection(fixture.system.fleet().keyValue())) {
            ConfigurationEditor editor = new ConfigurationEditor(connection.keyValue());
            long base = editor.read().orElseThrow().revision();
            CompletableFuture<Step> one =
                    CompletableFuture.supplyAsync(() -> editor.apply(configurationWithVersion("5"), "one", base));
            CompletableFuture<Step> two =
                    CompletableFuture.supplyAsync(() -> editor.apply(configurationWithVersion("6"), "two", base));
            steps.add(one.join());
            steps.add(two.join());
        }

        assertThat(steps).containsExactlyInAnyOrder(Step.ACCEPTED, Step.CONFLICT);
    }

    /** The edit takes effect but its answer is lost: its author is told that it was accepted, not that it failed. */
    @Test
    void anEditWhoseAnswerIsLostIsReportedAsAccepted() {
        fixture.system.platform().keyValue().setFaults(new KeyValueFaults(false, 0, 1, 0, false));
        fixture.system.applyConfiguration(configurationWithVersion("7"));

        awaitVersion("7", fixture.processes());
    }

    /** A host starts during an outage of the key-value store: it gets the configuration in force from its peers. */
    @Test
    void aHostThatStartsDuringAnOutageGetsTheConfigurationFromItsPeers() {
        fixture.system.applyConfiguration(configurationWithVersion("8"));
        awaitVersion("8", fixture.processes());
        fixture.system.entries().get(1).close();
        fixture.system.platform().keyValue().setFaults(new KeyValueFaults(true, 0, 0, 0, false));
        EntryProcess started = fixture.system.startEntry(1);

        awaitVersion("8", List.of(started.process()));
        started.close();
    }

    /**
     * The key-value store answers reads with a state before the latest edit: no host returns to the older
     * configuration.
     */
    @Test
    void staleReadsDoNotBringAnOlderConfigurationBack() {
        fixture.system.applyConfiguration(configurationWithVersion("9"));
        awaitVersion("9", fixture.processes());
        fixture.system.platform().keyValue().setFaults(new KeyValueFaults(false, 0, 0, 0, true));
        fixture.system.entries().get(1).close();
        EntryProcess started = fixture.system.startEntry(1);

        awaitVersion("9", List.of(started.process()));
        awaitVersion("9", List.of(fixture.system.entries().get(0).process()));
        started.close();
    }

    /** A new version of the model: every engine gets orders with increasing fencing tokens and loads the version. */
    @Test
    void enginesAreOrderedToLoadTheConfiguredVersion() {
        fixture.system.applyConfiguration(configurationWithVersion("10"));

        List<EngineStandin> engines = fixture.system.platform().engines();
        ModelHolding expected = new ModelHolding("tutor-7b", "10", List.of("critique"));
        Loopback.await(
                "the new version",
                () -> engines.stream().allMatch(engine -> engine.loadedModel().equals(expected)));
        for (EngineStandin engine : engines) {
            assertThat(engine.orderFencingTokens()).isSorted().isNotEmpty();
        }
    }

    private void awaitVersion(String version, List<HostProcess> processes) {
        Loopback.await(
                "version " + version,
                () -> processes.stream()
                        .allMatch(process -> SystemFixture.callOnLoop(
                                process,
                                () -> process.configuration().current().models().containsKey("tutor-7b")
                                        && process.configuration()
                                                .current()
                                                .models()
                                                .get("tutor-7b")
                                                .version()
                                                .equals(version))));
    }

    private String configurationWithVersion(String version) {
        return fixture.system.fleet().configuration().replace("version: \"3\"", "version: \"" + version + "\"");
    }
}
