package ambertrestle.lab;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ambertrestle.relay.persistence.LogMessage;
import ambertrestle.relay.persistence.Recovery;
import ambertrestle.relay.persistence.SnapshotBuilder;
import ambertrestle.relay.persistence.StartupProgress;
import ambertrestle.relay.persistence.StateChanges;
import ambertrestle.relay.persistence.StateFileCodec;
import ambertrestle.relay.persistence.StateSnapshot;
import ambertrestle.relay.persistence.StateStore;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.PackageMatcher;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Rules on the dependencies between modules and packages: the core depends on no other module, nothing depends on the
 * lab, and the parts that must be deterministic use no sockets, files, clocks or threads.
 *
 * <p>A rule passes when its patterns match no class, so it would check nothing after a class or package is renamed.
 * Therefore classes are named by literals, and the names that remain as text are asserted to exist.
 */
class ModuleDependencyTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("ambertrestle");

    private static final String PERSISTENCE_PACKAGE = "ambertrestle.relay.persistence";

    /**
     * Package-private classes of {@link #PERSISTENCE_PACKAGE} that access files; there are no class literals of them
     * here.
     */
    private static final List<String> PACKAGE_PRIVATE_FILE_CLASSES =
            List.of("SnapshotDirectory", "Storage", "FileSystemStorage");

    private static ArchRule noDependency(String from, String... to) {
        return noClasses()
                .that()
                .resideInAnyPackage(existingPackages(from))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(existingPackages(to));
    }

    /**
     * Returns the patterns after asserting that each pattern of the project's own packages matches an imported class.
     * Packages of the JDK and of libraries are never imported and are not asserted.
     */
    private static String[] existingPackages(String... patterns) {
        for (String pattern : patterns) {
            if (pattern.startsWith("ambertrestle")) {
                assertThat(ALL).as("imported classes in " + pattern).anyMatch(imported -> PackageMatcher.of(pattern)
                        .matches(imported.getPackageName()));
            }
        }
        return patterns;
    }

    /** Asserts that a class was imported, so that a rule on it checks something. */
    private static void assertImported(String className) {
        assertThat(ALL.contain(className)).as(className + " is imported").isTrue();
    }

    /** Guards against decisions that use I/O or threads, so that they could no longer be tested as pure functions. */
    @Test
    void coreDependsOnNoOtherModule() {
        noDependency(
                        "ambertrestle.decide..",
                        "ambertrestle.relay..",
                        "ambertrestle.simhost..",
                        "ambertrestle.cli..",
                        "ambertrestle.lab..",
                        "io..",
                        "com..",
                        "org..",
                        "picocli..",
                        "java.net..",
                        "java.nio..",
                        "java.util.concurrent..")
                .check(ALL);
        noDependency(
                        "ambertrestle.restore..",
                        "ambertrestle.relay..",
                        "ambertrestle.settings..",
                        "ambertrestle.lab..",
                        "io..",
                        "com..",
                        "org..",
                        "java.net..",
                        "java.nio..",
                        "java.util.concurrent..")
                .check(ALL);
        noDependency(
                        "ambertrestle.settings..",
                        "ambertrestle.relay..",
                        "ambertrestle.decide..",
                        "ambertrestle.lab..",
                        "io..",
                        "com..",
                        "org..")
                .check(ALL);
    }

    /** Guards against a reducer that cannot be replayed, because its result depends on sockets or threads. */
    @Test
    void reducerDependsOnNoVertxSocketOrThread() {
        noDependency(
                        "ambertrestle.relay.connection..",
                        "io.vertx..",
                        "io.netty..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.util.concurrent..")
                .check(ALL);
    }

    /**
     * Guards against recovery logic that can only be tested on a real disk. Files belong to the store alone, and the
     * logic must not use the store either.
     */
    @Test
    void recoveryDependsOnNoFileClockOrThread() {
        Class<?>[] checkedClasses = {
            Recovery.class,
            StartupProgress.class,
            SnapshotBuilder.class,
            StateChanges.class,
            StateSnapshot.class,
            StateFileCodec.class,
            LogMessage.class
        };
        for (Class<?> checkedClass : checkedClasses) {
            assertImported(checkedClass.getName());
        }
        assertImported(StateStore.class.getName());
        PACKAGE_PRIVATE_FILE_CLASSES.forEach(name -> assertImported(PERSISTENCE_PACKAGE + "." + name));
        noClasses()
                .that()
                .resideInAnyPackage(existingPackages(PERSISTENCE_PACKAGE + ".."))
                .and()
                .belongToAnyOf(checkedClasses)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.nio.file..", "java.nio.channels..", "java.util.concurrent..", "io..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(StateStore.class)
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching(".*\\.(" + String.join("|", PACKAGE_PRIVATE_FILE_CLASSES) + ")(\\$.*)?")
                .check(ALL);
    }

    /** Guards against a daemon that needs the lab's code, which is not deployed with it. */
    @Test
    void noModuleDependsOnLab() {
        noClasses()
                .that()
                .resideOutsideOfPackages(existingPackages("ambertrestle.lab.."))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(existingPackages("ambertrestle.lab.."))
                .check(ALL);
    }

    /** Guards against simulation runs whose results differ from run to run with the same seed. */
    @Test
    void simulationReadsNoClockAndStartsNoThread() {
        noDependency("ambertrestle.lab.simulation..", "java.net..", "java.time..", "java.util.concurrent..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(existingPackages(
                        "ambertrestle.lab.simulation..", "ambertrestle.lab.policy..", "ambertrestle.decide.."))
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    /** The rules above also pass when no class is imported. This one fails if dependencies are not detected. */
    @Test
    void ruleDetectsAnExistingDependency() {
        assertThatThrownBy(() -> noDependency("ambertrestle.lab..", "ambertrestle.relay..")
                        .check(ALL))
                .isInstanceOf(AssertionError.class);
    }
}
