package org.gooseberryhill.program;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The operators' command line, {@code gooseberry}. */
@Command(
        name = "gooseberry",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Serving of online and batch inference on one fleet",
        subcommands = {
            ConfigCommand.class,
            JobCommand.class,
            EndpointsCommand.class,
            TimelineCommand.class,
            KeyCommand.class,
            DemoCommand.class
        })
public final class GooseberryMain implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Runs the program; exit code 0 if it went well, 1 if not, 2 for a wrong command line. */
    public static void main(String... arguments) {
        System.exit(Commands.run(new GooseberryMain(), arguments));
    }

    /** Shows the usage when no subcommand is given. */
    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }
}
