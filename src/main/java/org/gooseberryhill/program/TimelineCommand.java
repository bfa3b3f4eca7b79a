package org.gooseberryhill.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.gooseberryhill.timeline.TimelineEvent;
import org.gooseberryhill.timeline.TimelineLineFormat;
import org.gooseberryhill.timeline.TimelineQuery;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Merges the logs of all processes into one timeline in causal order. */
@Command(
        name = "timeline",
        mixinStandardHelpOptions = true,
        description = "Shows the events of all processes in causal order")
final class TimelineCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "LOG", description = "Logs of processes, or folders with them")
    private List<Path> logs;

    @Option(names = "--request", description = "Only events of this request")
    private String request;

    @Option(names = "--job", description = "Only events of this job, as caller/id")
    private String job;

    @Option(names = "--item", description = "Only events of this item of the job")
    private String item;

    @Option(
            names = "--surroundings",
            description = "Also state changes of processes, the store and the endpoints concerned, from 5 s"
                    + " before to 5 s after")
    private boolean surroundings;

    @Option(names = "--endpoint", description = "Only events of this endpoint")
    private String endpoint;

    @Option(names = "--json", description = "Events as JSON")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        for (TimelineEvent event : query().select(merge(logs))) {
            out.println(json ? TimelineLineFormat.format(event) : format(event));
        }
        out.flush();
        return Commands.OK;
    }

    /** Returns the events of all logs, causes before effects; skips lines that are not events. */
    static List<TimelineEvent> merge(List<Path> logs) throws IOException {
        List<TimelineEvent> events = new ArrayList<>();
        for (Path log : logs) {
            for (Path file : logFiles(log)) {
                try (Stream<String> lines = Files.lines(file, StandardCharsets.UTF_8)) {
                    lines.forEach(line -> TimelineLineFormat.parse(line).ifPresent(events::add));
                }
            }
        }
        events.sort(Comparator.comparing(TimelineEvent::at).thenComparing(TimelineEvent::process));
        return events;
    }

    private static List<Path> logFiles(Path log) throws IOException {
        if (!Files.isDirectory(log)) {
            return List.of(log);
        }
        try (Stream<Path> files = Files.list(log)) {
            return files.filter(Files::isRegularFile).sorted().toList();
        }
    }

    private TimelineQuery query() {
        return new TimelineQuery(
                Optional.ofNullable(request),
                Optional.ofNullable(job),
                Optional.ofNullable(item),
                Optional.ofNullable(endpoint),
                surroundings);
    }

    private static String format(TimelineEvent event) {
        StringBuilder line = new StringBuilder();
        line.append(Instant.ofEpochMilli(event.at().epochMillis())).append("  ");
        line.append("%-12s %-24s".formatted(event.process(), event.kind()));
        event.request().ifPresent(value -> line.append(" request=").append(value));
        event.job().ifPresent(value -> line.append(" job=").append(value));
        event.endpoint().ifPresent(value -> line.append(" endpoint=").append(value));
        event.details()
                .forEach((name, value) ->
                        line.append(' ').append(name).append('=').append(value));
        return line.toString();
    }
}
