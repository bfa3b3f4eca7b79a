package org.gooseberryhill;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The decision core has to stay free of everything that a virtual-time test could not control. */
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
    final ArchRule theDecisionCoreKnowsNoAdapter = noClasses()
            .that()
            .resideInAPackage(DECISION)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.gooseberryhill.http..",
                    "org.gooseberryhill.peer..",
                    "org.gooseberryhill.external..",
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
                    "org.gooseberryhill.standin..", "org.gooseberryhill.program..", "org.gooseberryhill.load..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.gooseberryhill.standin..");
}
