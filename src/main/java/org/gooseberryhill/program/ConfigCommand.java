package org.gooseberryhill.program;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.ConfigurationReader;
import org.gooseberryhill.configuration.Finding;
import org.gooseberryhill.decision.configuration.ConfigurationEdit;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.program.ConfigurationEditor.StoredRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks, applies and shows the operators' configuration. */
@Command(name = "config", mixinStandardHelpOptions = true, description = "Checks, applies and shows the configuration")
final class ConfigCommand {
    private static final Pattern REVISION_LINE = Pattern.compile("# revision (\\d+)\\b.*");

    @Spec
    private CommandSpec spec;

    @Command(mixinStandardHelpOptions = true, description = "Reports all errors in a configuration")
    int check(
            @Parameters(paramLabel = "FILE", description = "The configuration") Path file,
            @Option(names = "--json", description = "Findings as JSON") boolean json)
            throws IOException {
        Either<List<Finding>, Configuration> parsed = ConfigurationReader.read(file.toString(), Files.readString(file));
        if (parsed.isLeft()) {
            printFindings(parsed.getLeft(), json);
            return Commands.FAILED;
        }
        Configuration configuration = parsed.get();
        Optional<Finding> empty = ConfigurationReader.findEmpty(file.toString(), configuration);
        if (empty.isPresent()) {
            printFindings(List.of(empty.get()), json);
            return Commands.FAILED;
        }
        out().printf(
                        "ok: %d services, %d endpoints, %d callers%n",
                        configuration.services().size(),
                        configuration.endpoints().size(),
                        configuration.callers().size());
        return Commands.OK;
    }

    @Command(
            mixinStandardHelpOptions = true,
            description =
                    "Applies a configuration. Its first line, \"# revision N\" as show writes it, or --base tells "
                            + "which revision it replaces")
    int apply(
            @Mixin PlatformOptions platform,
            @Parameters(paramLabel = "FILE", description = "The configuration") Path file,
            @Option(names = "--base", description = "Revision that the configuration replaces") Long base,
            @Option(names = "--author", defaultValue = "${env:USER:-operator}", description = "Who applies it")
                    String author,
            @Option(names = "--allow-empty", description = "Applies a configuration without any service too")
                    boolean allowEmpty)
            throws IOException {
        String text = Files.readString(file);
        Either<List<Finding>, Configuration> parsed = ConfigurationReader.read(file.toString(), text);
        if (parsed.isLeft()) {
            printFindings(parsed.getLeft(), false);
            return Commands.FAILED;
        }
        Optional<Finding> empty = ConfigurationReader.findEmpty(file.toString(), parsed.get());
        if (empty.isPresent() && !allowEmpty) {
            printFindings(List.of(empty.get()), false);
            return Commands.FAILED;
        }
        try (PlatformOptions.Connection connection = platform.connect()) {
            ConfigurationEditor editor = new ConfigurationEditor(connection.keyValue());
            Optional<StoredRecord> current = editor.read();
            Optional<Long> baseRevision = Optional.ofNullable(base).or(() -> findBaseRevision(text));
            if (baseRevision.isEmpty() && current.isPresent()) {
                err().println("the file does not say which revision it replaces: start from \"config show\" or give "
                        + "--base; the one in force is " + current.get().revision());
                return Commands.FAILED;
            }
            return applyEdit(editor, removeRevisionLine(text), author, baseRevision.orElse(0L));
        }
    }

    @Command(
            mixinStandardHelpOptions = true,
            description = "Prints the configuration in force, to edit and apply again")
    int show(@Mixin PlatformOptions platform) {
        try (PlatformOptions.Connection connection = platform.connect()) {
            Optional<StoredRecord> current = new ConfigurationEditor(connection.keyValue()).read();
            if (current.isEmpty()) {
                err().println("there is no configuration yet");
                return Commands.FAILED;
            }
            out().println("# revision " + current.get().revision());
            out().print(current.get().record().text());
            out().flush();
            return Commands.OK;
        }
    }

    @Command(mixinStandardHelpOptions = true, description = "Shows what a configuration would change")
    int diff(
            @Mixin PlatformOptions platform,
            @Parameters(paramLabel = "FILE", description = "The configuration") Path file)
            throws IOException {
        try (PlatformOptions.Connection connection = platform.connect()) {
            Optional<StoredRecord> current = new ConfigurationEditor(connection.keyValue()).read();
            String oldText = current.map(stored -> stored.record().text()).orElse("");
            out().println(TextDiff.unified(
                    "in force", oldText, file.toString(), removeRevisionLine(Files.readString(file))));
            return Commands.OK;
        }
    }

    @Command(mixinStandardHelpOptions = true, description = "Lists the latest edits")
    int history(@Mixin PlatformOptions platform) {
        try (PlatformOptions.Connection connection = platform.connect()) {
            String previousText = "";
            for (StoredRecord stored : new ConfigurationEditor(connection.keyValue()).history()) {
                String text = stored.record().text();
                long changedLines = TextDiff.unified("a", previousText, "b", text)
                        .lines()
                        .filter(line -> line.matches("[+-][^+-].*"))
                        .count();
                out().printf(
                                "revision %d  %s  %s  %d lines changed%n",
                                stored.revision(),
                                Instant.ofEpochMilli(stored.record().appliedMillis()),
                                stored.record().author(),
                                changedLines);
                previousText = text;
            }
            return Commands.OK;
        }
    }

    private int applyEdit(ConfigurationEditor editor, String text, String author, long base) {
        ConfigurationEdit.Step step = editor.apply(text, author, base);
        if (step == ConfigurationEdit.Step.ACCEPTED) {
            out().println("accepted as revision " + editor.read().orElseThrow().revision());
            return Commands.OK;
        }
        if (step == ConfigurationEdit.Step.UNKNOWN) {
            err().println(
                            "the key-value store does not answer; the edit may or may not have been accepted: see history");
            return Commands.FAILED;
        }
        printConflict(editor, text, base);
        return Commands.FAILED;
    }

    private void printConflict(ConfigurationEditor editor, String text, long base) {
        StoredRecord current = editor.read().orElseThrow();
        err().printf(
                        "not applied: %1$s replaced revision %3$d with revision %2$d%n",
                        current.record().author(), current.revision(), base);
        String baseText = editor.history().stream()
                .filter(stored -> stored.revision() == base)
                .map(stored -> stored.record().text())
                .findFirst()
                .orElse(text);
        err().println(TextDiff.unified(
                "revision " + base,
                baseText,
                "revision " + current.revision(),
                current.record().text()));
    }

    private void printFindings(List<Finding> findings, boolean json) {
        if (json) {
            out().println(Json.text(findings));
            return;
        }
        findings.forEach(finding -> err().println(finding.format()));
        err().println(findings.size() + " findings");
    }

    private static Optional<Long> findBaseRevision(String text) {
        return text.lines()
                .findFirst()
                .map(REVISION_LINE::matcher)
                .filter(Matcher::matches)
                .map(matcher -> Long.parseLong(matcher.group(1)));
    }

    private static String removeRevisionLine(String text) {
        return findBaseRevision(text).isPresent() ? text.substring(text.indexOf('\n') + 1) : text;
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }
}
