package org.gooseberryhill;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Checks the dependencies between packages. The decision core must not depend on anything that a test with virtual time
 * cannot control.
 */
@AnalyzeClasses(packages = "org.gooseberryhill", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String DECISION = "org.gooseberryhill.decision..";

    @ArchTest
    final ArchRule theDecisionCoreHasNoSocketsFilesOrThreads = noClasses()
            .that()
            .resideInAPackage(DECISION)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.netty..",
                    "java.net..",
                    "java.nio.file..",
                    "java.nio.channels..",
                    "java.util.concurrent.locks..",
                    "com.lmax..",
                    "org.apache.logging..");

    @ArchTest
    final ArchRule theDecisionCoreDependsOnNoAdapter = noClasses()
            .that()
            .resideInAPackage(DECISION)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.gooseberryhill.http..",
                    "org.gooseberryhill.peer..",
                    "org.gooseberryhill.dialect..",
                    "org.gooseberryhill.gateway..",
                    "org.gooseberryhill.platform..",
                    "org.gooseberryhill.store..",
                    "org.gooseberryhill.process..",
                    "org.gooseberryhill.entry..",
                    "org.gooseberryhill.steward..",
                    "org.gooseberryhill.program..",
                    "org.gooseberryhill.standin..");

    @ArchTest
    final ArchRule theDecisionCoreReadsNoClock = noClasses()
            .that()
            .resideInAPackage(DECISION)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Math.class, "random")
            .orShould()
            .callConstructor(java.util.Random.class)
            .orShould()
            .callMethod(java.util.UUID.class, "randomUUID")
            .orShould()
            .callMethod(java.time.Instant.class, "now");

    @ArchTest
    final ArchRule onlyStandInsProgramsAndTheLoadToolUseStandIns = noClasses()
            .that()
            .resideOutsideOfPackages(
                    "org.gooseberryhill.standin..",
                    "org.gooseberryhill.platform.standin..",
                    "org.gooseberryhill.program..",
                    "org.gooseberryhill.load..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.gooseberryhill.standin..");

    /** The product works without the adapter, so that replacing the platform means replacing one folder. */
    @ArchTest
    final ArchRule nothingOutsideDependsOnThePlatformAdapter = noClasses()
            .that()
            .resideOutsideOfPackage("org.gooseberryhill.platform..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.gooseberryhill.platform..");

    /** The adapter only translates to the product's types; decisions, timing and state stay in the product. */
    @ArchTest
    final ArchRule thePlatformAdapterMakesNoDecisions = noClasses()
            .that()
            .resideInAPackage("org.gooseberryhill.platform")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.gooseberryhill.decision.dispatch..",
                    "org.gooseberryhill.decision.admission..",
                    "org.gooseberryhill.decision.online..",
                    "org.gooseberryhill.decision.retry..",
                    "org.gooseberryhill.decision.routing..",
                    "org.gooseberryhill.control..",
                    "org.gooseberryhill.peer..",
                    "org.gooseberryhill.view..")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis");

    @ArchTest
    final ArchRule thePlatformAdapterUsesNoStandIns = noClasses()
            .that()
            .resideInAPackage("org.gooseberryhill.platform")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.gooseberryhill.platform.standin..");
}
