package org.gooseberryhill.program;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The command line for operators, {@code gooseberry}. */
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

    /** Runs the program; exits with 0 on success, 1 on failure, 2 if the command line or the settings are invalid. */
    public static void main(String... arguments) {
        System.exit(Commands.run(new GooseberryMain(), arguments));
    }

    /** Prints the usage if no subcommand is given. */
    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }
}
