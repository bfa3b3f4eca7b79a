package review2;

import java.nio.file.Path;

/**
 * Runs a case: its name, the root of the repository, the file of the record. Exits with 10 if the rule was broken, 0 if it held, and 2 if
 * the case could not run; a JVM that does not start exits with 1, which must not be taken for a broken rule.
 */
public final class Main {
    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 2;

    private Main() {}

    public static void main(String... arguments) {
        int status = COULD_NOT_RUN;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Recorder record = new Recorder(Path.of(arguments[2]));
                Deployment deployment = new Deployment(Path.of(arguments[1]), record)) {
            record.write("case " + arguments[0] + (trouble ? "" : ", without the disruption"));
            boolean broken = create(arguments[0]).run(deployment, trouble);
            record.write(broken ? "the rule was broken" : "the rule held");
            System.out.println(broken ? "the rule was broken" : "the rule held");
            status = broken ? BROKEN : 0;
        } catch (Throwable e) {
            e.printStackTrace();
        } finally {
            Runtime.getRuntime().halt(status);
        }
    }

    private static Case create(String name) {
        return switch (name) {
            case "burst-of-jobs" -> new BurstOfJobsCase();
            case "spoiled-answers" -> new SpoiledAnswersCase();
            case "steady-readers" -> new SteadyReadersCase();
            default -> throw new IllegalArgumentException("no case " + name);
        };
    }

    /** One case. */
    interface Case {
        /** Runs the case; returns whether the rule was broken. */
        boolean run(Deployment deployment, boolean trouble) throws Exception;
    }
}
