package org.gooseberryhill.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.load.EaselAndOchreWorkload;
import org.gooseberryhill.load.Experiment;
import org.gooseberryhill.load.Experiment.Point;
import org.gooseberryhill.load.ResultRenderer;
import org.gooseberryhill.load.RunResult;
import org.gooseberryhill.load.StadsdataWorkload;
import org.gooseberryhill.load.Workload;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures batch throughput against the latency of online requests, for the product and for the baseline. */
@Command(
        name = "curve",
        mixinStandardHelpOptions = true,
        description = "Runs a deployment's workload on loopback with the product's and the baseline's decisions, and "
                + "writes a table, JSON and a plot")
final class CurveCommand implements Callable<Integer> {
    private static final List<Point> POINTS = List.of(
            new Point(false, 0, false),
            new Point(false, 50, false),
            new Point(false, 100, false),
            new Point(true, 0, false),
            new Point(true, 50, false),
            new Point(true, 100, false),
            new Point(false, 100, true),
            new Point(true, 100, true));
    private static final int MAX_SECONDS = 600;
    private static final int MAX_REPEATS = 50;
    private static final int MAX_PORT = 65_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--deployment",
            defaultValue = "${env:GOOSEBERRY_DEPLOYMENT:-easel}",
            description = "easel or stadsdata (default easel)")
    private String deployment;

    @Option(
            names = "--seconds",
            defaultValue = "${env:GOOSEBERRY_SECONDS:-10}",
            description = "Length of a run (default 10)")
    private String seconds;

    @Option(
            names = "--repeats",
            defaultValue = "${env:GOOSEBERRY_REPEATS:-3}",
            description = "Runs of each point (default 3)")
    private String repeats;

    @Option(
            names = "--base-port",
            defaultValue = "${env:GOOSEBERRY_BASE_PORT:-18600}",
            description = "First of 100 ports (default 18600)")
    private String basePort;

    @Option(
            names = "--out",
            defaultValue = "${env:GOOSEBERRY_OUT:-run/load}",
            description = "Folder for the results (default run/load)")
    private Path out;

    @Override
    public Integer call() throws IOException {
        SettingsReader reader = new SettingsReader();
        boolean easel =
                reader.choice("--deployment", deployment, "easel", "stadsdata").equals("easel");
        long runSeconds = reader.number("--seconds", seconds, 1, MAX_SECONDS);
        long runs = reader.number("--repeats", repeats, 1, MAX_REPEATS);
        int port = (int) reader.number("--base-port", basePort, 1024, MAX_PORT);
        reader.requireNoFindings();
        Workload workload = easel ? new EaselAndOchreWorkload() : new StadsdataWorkload();
        Experiment experiment = new Experiment(workload, runSeconds, port);
        PrintWriter console = spec.commandLine().getOut();
        List<RunResult> results = new ArrayList<>();
        for (int repeat = 0; repeat < runs; repeat++) {
            for (Point point : POINTS) {
                RunResult result = experiment.run(point, repeat);
                results.add(result);
                console.println(Json.text(result));
                console.flush();
            }
        }
        write(workload, results, console);
        return Commands.OK;
    }

    private void write(Workload workload, List<RunResult> results, PrintWriter console) throws IOException {
        Files.createDirectories(out);
        Files.writeString(out.resolve(workload.name() + ".json"), Json.text(results));
        Files.writeString(out.resolve(workload.name() + ".svg"), ResultRenderer.svgPlot(workload.name(), results));
        String table = ResultRenderer.markdownTable(results);
        Files.writeString(out.resolve(workload.name() + ".md"), table);
        console.println(table);
    }
}
