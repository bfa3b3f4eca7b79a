package org.gooseberryhill.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.gooseberryhill.load.slope.LinearFit;
import org.gooseberryhill.load.slope.SlopeProbe;
import org.gooseberryhill.load.slope.SlopeProbes;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures how the cost of each {@link SlopeProbe} grows with its size; docs/CAPACITY.md is based on the results. */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description = "Measures how costs grow with sizes, and writes the table that docs/CAPACITY.md is based on")
final class SlopesCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--base-port", defaultValue = "18800", description = "First of 100 ports (default 18800)")
    private int basePort;

    @Option(names = "--out", defaultValue = "run/load", description = "Folder for the table (default run/load)")
    private Path out;

    @Override
    public Integer call() throws IOException {
        StringBuilder table = new StringBuilder();
        table.append("| cost | varied | sizes | measured | at 0 | each one more | worst error |\n");
        table.append("|---|---|---|---|---|---|---|\n");
        PrintWriter console = spec.commandLine().getOut();
        for (SlopeProbe probe : SlopeProbes.all(basePort)) {
            String row = row(LinearFit.measure(probe));
            table.append(row);
            console.print(row);
            console.flush();
        }
        Files.createDirectories(out);
        Files.writeString(out.resolve("slopes.md"), table.toString());
        return Commands.OK;
    }

    private static String row(LinearFit fit) {
        SlopeProbe probe = fit.probe();
        return String.format(
                Locale.ROOT,
                "| %s, %s | %s | %s | %s | %.1f | %.3f | %.1f%% |%n",
                probe.name(),
                probe.unit(),
                probe.variedQuantity(),
                join(probe.sizes().stream().map(String::valueOf).toList()),
                join(fit.points().stream()
                        .map(point -> String.format(Locale.ROOT, "%.1f", point))
                        .toList()),
                fit.intercept(),
                fit.perUnit(),
                fit.worstErrorPercent());
    }

    private static String join(List<String> texts) {
        return texts.stream().collect(Collectors.joining(", "));
    }
}
