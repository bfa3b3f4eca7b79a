package org.gooseberryhill.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.gooseberryhill.standin.EngineSpeed;
import org.gooseberryhill.standin.SampleFleet;
import org.gooseberryhill.standin.SamplePlatform;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line of {@code gooseberry-standins}. */
@Command(
        name = "gooseberry-standins",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Runs the stand-ins of the platform and the endpoints on loopback, for tests and demonstrations")
public final class StandinsMain implements Callable<Integer> {
    private static final int MAX_PORT = 65_000;
    private static final int MAX_ENGINES = 30;
    private static final int HOSTS_PER_ROLE = 3;

    @Option(
            names = "--base-port",
            defaultValue = "${env:GOOSEBERRY_BASE_PORT:-18400}",
            description = "First of 100 ports (default 18400)")
    private String basePort;

    @Option(
            names = "--engines",
            defaultValue = "${env:GOOSEBERRY_ENGINES:-12}",
            description = "Number of engines (default 12)")
    private String engines;

    @Option(names = "--write-configuration", description = "Write the sample configuration to this file")
    private Path configurationFile;

    /** Runs the program. */
    public static void main(String... arguments) {
        System.exit(Commands.run(new StandinsMain(), arguments));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        SettingsReader reader = new SettingsReader();
        SampleFleet fleet = new SampleFleet((int) reader.number("--base-port", basePort, 1024, MAX_PORT), (int)
                reader.number("--engines", engines, 1, MAX_ENGINES));
        reader.requireNoFindings();
        if (configurationFile != null) {
            Files.writeString(configurationFile, fleet.configuration());
        }
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown, "stop"));
        try (SamplePlatform platform =
                new SamplePlatform(fleet, EngineSpeed.SMALL, HOSTS_PER_ROLE, HOSTS_PER_ROLE, HOSTS_PER_ROLE)) {
            stopped.await();
        }
        return Commands.OK;
    }
}
