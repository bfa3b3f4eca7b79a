package org.gooseberryhill.program;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import org.gooseberryhill.contract.Fingerprint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Computes the hashes of callers' bearer keys for the configuration. */
@Command(name = "key", mixinStandardHelpOptions = true, description = "Works with callers' bearer keys")
final class KeyCommand {
    @Spec
    private CommandSpec spec;

    @Command(
            mixinStandardHelpOptions = true,
            description = "Reads a key from standard input and prints the hash for the configuration")
    int hash() throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        String key = reader.readLine();
        if (key == null || key.isBlank()) {
            spec.commandLine().getErr().println("no key on standard input");
            return Commands.USAGE;
        }
        spec.commandLine().getOut().println(Fingerprint.sha256Hex(key.strip().getBytes(StandardCharsets.UTF_8)));
        return Commands.OK;
    }
}
