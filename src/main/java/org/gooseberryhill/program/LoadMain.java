package org.gooseberryhill.program;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The command line of {@code gooseberry-load}. */
@Command(
        name = "gooseberry-load",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Load and experiments on loopback",
        subcommands = {CurveCommand.class, SlopesCommand.class})
public final class LoadMain implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Runs the program. */
    public static void main(String... arguments) {
        System.exit(Commands.run(new LoadMain(), arguments));
    }

    /** Prints the usage if no subcommand is given. */
    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }
}
