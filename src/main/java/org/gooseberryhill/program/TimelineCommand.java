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
import org.gooseberryhill.link.Json;
import org.gooseberryhill.timeline.TimelineEvent;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Merges the time lines of all processes in causal order. */
@Command(
        name = "timeline",
        mixinStandardHelpOptions = true,
        description = "Shows the events of all processes in causal order")
final class TimelineCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FOLDER", description = "Folders with timeline-*.jsonl files")
    private List<Path> folders;

    @Option(names = "--request", description = "Only events of this request")
    private String request;

    @Option(names = "--job", description = "Only events of this job, as caller/id")
    private String job;

    @Option(names = "--endpoint", description = "Only events of this endpoint")
    private String endpoint;

    @Option(names = "--json", description = "Events as JSON")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        for (TimelineEvent event : merge(folders)) {
            if (!isWanted(event)) {
                continue;
            }
            out.println(json ? Json.text(event) : line(event));
        }
        out.flush();
        return Commands.OK;
    }

    /** The events of all files in the folders, causes before effects. */
    static List<TimelineEvent> merge(List<Path> folders) throws IOException {
        List<TimelineEvent> events = new ArrayList<>();
        for (Path folder : folders) {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file :
                        files.filter(TimelineCommand::isTimeline).sorted().toList()) {
                    // A killed process may leave a last line that is not whole; it is passed over.
                    Files.readAllLines(file)
                            .forEach(text -> Json.read(text.getBytes(StandardCharsets.UTF_8), TimelineEvent.class)
                                    .forEach(events::add));
                }
            }
        }
        events.sort(Comparator.comparing(TimelineEvent::at).thenComparing(TimelineEvent::process));
        return events;
    }

    private static boolean isTimeline(Path file) {
        return file.getFileName().toString().matches("timeline-.*\\.jsonl");
    }

    private boolean isWanted(TimelineEvent event) {
        return matches(request, event.request()) && matches(job, event.job()) && matches(endpoint, event.endpoint());
    }

    private static boolean matches(String wanted, Optional<String> actual) {
        return wanted == null || actual.equals(Optional.of(wanted));
    }

    private static String line(TimelineEvent event) {
        StringBuilder line = new StringBuilder();
        line.append(Instant.ofEpochMilli(event.at().epochMillis())).append("  ");
        line.append("%-12s %-24s".formatted(event.process(), event.kind()));
        event.request().ifPresent(value -> line.append(" request=").append(value));
        event.job().ifPresent(value -> line.append(" job=").append(value));
        event.endpoint().ifPresent(value -> line.append(" endpoint=").append(value));
        return line.append(' ').append(event.detail()).toString().stripTrailing();
    }
}
