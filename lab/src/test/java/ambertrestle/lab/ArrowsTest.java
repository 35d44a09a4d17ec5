package ambertrestle.lab;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Who may know whom: integrations the relay, the relay the core, nobody the lab. */
class ArrowsTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("ambertrestle");

    private static ArchRule none(String from, String... to) {
        return noClasses()
                .that()
                .resideInAnyPackage(from)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(to);
    }

    @Test
    void coreKnowsNobody() {
        none(
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
        none(
                        "ambertrestle.recover..",
                        "ambertrestle.relay..",
                        "ambertrestle.ticket..",
                        "ambertrestle.lab..",
                        "io..",
                        "com..",
                        "org..",
                        "java.net..",
                        "java.nio..",
                        "java.util.concurrent..")
                .check(ALL);
        none(
                        "ambertrestle.ticket..",
                        "ambertrestle.relay..",
                        "ambertrestle.decide..",
                        "ambertrestle.lab..",
                        "io..",
                        "com..",
                        "org..")
                .check(ALL);
    }

    @Test
    void whatIsKeptKnowsNoVertxNoSocketNoThread() {
        none(
                        "ambertrestle.relay.memory..",
                        "io.vertx..",
                        "io.netty..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.util.concurrent..")
                .check(ALL);
    }

    @Test
    void theRulesOfAStartTouchNoFileNoClockNoThread() {
        noClasses()
                .that()
                .resideInAPackage("ambertrestle.relay.durable..")
                .and()
                .haveNameMatching(".*\\.(Recovery|Start|Mirror|Hand|Picture|StateFile|Said)(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.nio.file..", "java.nio.channels..", "java.util.concurrent..", "io..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching(".*\\.(Keeper|Folder|Disk|RealDisk)")
                .check(ALL);
    }

    @Test
    void nobodyKnowsTheLab() {
        noClasses()
                .that()
                .resideOutsideOfPackage("ambertrestle.lab..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("ambertrestle.lab..")
                .check(ALL);
    }

    @Test
    void theModelReadsNoClockAndStartsNoThread() {
        none("ambertrestle.lab.world..", "java.net..", "java.time..", "java.util.concurrent..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage("ambertrestle.lab.world..", "ambertrestle.lab.policy..", "ambertrestle.decide..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    /** The rules above would pass on an empty set of classes too. */
    @Test
    void anArrowThatIsThereIsFound() {
        assertThatThrownBy(
                        () -> none("ambertrestle.lab..", "ambertrestle.relay..").check(ALL))
                .isInstanceOf(AssertionError.class);
    }
}
