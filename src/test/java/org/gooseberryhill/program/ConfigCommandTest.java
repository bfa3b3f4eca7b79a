package org.gooseberryhill.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class ConfigCommandTest {
    private final StringWriter errors = new StringWriter();

    @TempDir
    private Path folder;

    /** Guards against an empty file that replaces a whole configuration because it contains no mistake. */
    @Test
    void aTextWithoutAServiceIsAFindingWithItsPlace() throws IOException {
        assertThat(check("")).isEqualTo(Commands.FAILED);
        assertThat(check("models:\n  m: {version: \"1\"}\n")).isEqualTo(Commands.FAILED);

        assertThat(errors.toString()).contains(":1:1", "defines no service");
    }

    @Test
    void aTextWithAServiceAndAnEndpointIsAccepted() throws IOException {
        String text = "services:\n  bookings: {kind: plain}\n"
                + "endpoints:\n  b-0: {service: bookings, address: \"10.0.0.9:8000\", zone: tas-a}\n";

        assertThat(check(text)).isEqualTo(Commands.OK);
    }

    private int check(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("fleet.yaml"), text);
        return new CommandLine(new ConfigCommand())
                .setOut(new PrintWriter(new StringWriter(), true))
                .setErr(new PrintWriter(errors, true))
                .execute("check", file.toString());
    }
}
