package ambertrestle.lab;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Who may know whom: integrations the relay, the relay the core, nobody the lab. */
class ModuleDependencyTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("ambertrestle");

    private static ArchRule noDependency(String from, String... to) {
        return noClasses()
                .that()
                .resideInAnyPackage(from)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(to);
    }

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

    @Test
    void recoveryDependsOnNoFileClockOrThread() {
        noClasses()
                .that()
                .resideInAPackage("ambertrestle.relay.persistence..")
                .and()
                .haveNameMatching(
                        ".*\\.(Recovery|StartupProgress|SnapshotBuilder|StateChanges|StateSnapshot|StateFileCodec|LogMessage)(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.nio.file..", "java.nio.channels..", "java.util.concurrent..", "io..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching(".*\\.(StateStore|SnapshotDirectory|Storage|FileSystemStorage)")
                .check(ALL);
    }

    @Test
    void noModuleDependsOnLab() {
        noClasses()
                .that()
                .resideOutsideOfPackage("ambertrestle.lab..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("ambertrestle.lab..")
                .check(ALL);
    }

    @Test
    void simulationReadsNoClockAndStartsNoThread() {
        noDependency("ambertrestle.lab.simulation..", "java.net..", "java.time..", "java.util.concurrent..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(
                        "ambertrestle.lab.simulation..", "ambertrestle.lab.policy..", "ambertrestle.decide..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    /** The rules above would pass on an empty set of classes too. */
    @Test
    void ruleDetectsAnExistingDependency() {
        assertThatThrownBy(() -> noDependency("ambertrestle.lab..", "ambertrestle.relay..")
                        .check(ALL))
                .isInstanceOf(AssertionError.class);
    }
}
