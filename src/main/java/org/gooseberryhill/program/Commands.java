package org.gooseberryhill.program;

import java.util.concurrent.CompletionException;
import picocli.CommandLine;

/** Runs a program's command line and returns the exit codes documented in docs/OPERATIONS.md. Stateless. */
final class Commands {
    /** The command succeeded. */
    static final int OK = 0;

    /** The command failed or reported findings. */
    static final int FAILED = 1;

    /** The command line or the settings are invalid. */
    static final int USAGE = 2;

    private Commands() {}

    static int run(Object command, String... arguments) {
        CommandLine line = new CommandLine(command);
        line.setExecutionExceptionHandler((failure, commandLine, parsed) -> {
            commandLine.getErr().println(describe(failure));
            return failure instanceof SettingsException ? USAGE : FAILED;
        });
        return line.execute(arguments);
    }

    private static String describe(Exception failure) {
        Throwable cause = failure;
        while (cause.getCause() != null && cause instanceof CompletionException) {
            cause = cause.getCause();
        }
        return cause.getMessage() == null ? cause.toString() : cause.getMessage();
    }
}
