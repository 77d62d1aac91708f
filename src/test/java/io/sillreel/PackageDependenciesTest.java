package io.sillreel;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Dependencies allowed between packages, as shown in {@code docs/architecture.md}. */
class PackageDependenciesTest {
    private static final String ROOT = "io.sillreel";

    /** Each package with the packages it may depend on; indirect dependencies have to be listed as well. */
    private static final Map<String, List<String>> ALLOWED_DEPENDENCIES = allowedDependencies();

    private static JavaClasses mainClasses;

    private static Map<String, List<String>> allowedDependencies() {
        Map<String, List<String>> allowed = new HashMap<>();
        allowed.put("http", List.of());
        allowed.put("overload", List.of("http"));
        allowed.put("settings", List.of("http"));
        allowed.put("limits", List.of("settings"));
        allowed.put("statestore", List.of("http", "overload"));
        allowed.put("cloud", List.of("http", "overload", "statestore"));
        allowed.put("agent", List.of("http"));
        allowed.put("peer", List.of("agent", "http"));
        allowed.put("pipeline", List.of("http", "settings", "statestore"));
        allowed.put("admission", List.of("cloud", "http", "limits", "pipeline", "settings", "statestore"));
        allowed.put("cluster", List.of("agent", "cloud", "http", "pipeline", "settings", "statestore"));
        allowed.put("placement", List.of("agent", "cloud", "cluster", "pipeline", "settings"));
        allowed.put(
                "fleet",
                List.of("cloud", "cluster", "http", "limits", "pipeline", "placement", "settings", "statestore"));
        allowed.put(
                "heartbeat",
                List.of(
                        "agent",
                        "cloud",
                        "cluster",
                        "fleet",
                        "http",
                        "peer",
                        "pipeline",
                        "placement",
                        "settings",
                        "statestore"));
        allowed.put(
                "leadership",
                List.of(
                        "agent",
                        "cloud",
                        "cluster",
                        "fleet",
                        "heartbeat",
                        "http",
                        "limits",
                        "peer",
                        "pipeline",
                        "placement",
                        "settings",
                        "statestore"));
        allowed.put(
                "recovery", List.of("agent", "heartbeat", "http", "leadership", "pipeline", "settings", "statestore"));
        allowed.put("cli", List.of("", "http", "limits", "settings"));
        return allowed;
    }

    @BeforeAll
    static void importMainClasses() {
        mainClasses = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages(ROOT);
    }

    @Test
    void hasRuleForEveryPackage() {
        Set<String> packages = mainClasses.stream()
                .map(JavaClass::getPackageName)
                .filter(name -> !name.equals(ROOT))
                .map(name -> name.substring(ROOT.length() + 1))
                .collect(Collectors.toCollection(TreeSet::new));
        assertThat(packages).isEqualTo(new TreeSet<>(ALLOWED_DEPENDENCIES.keySet()));
    }

    @Test
    void packagesDependOnlyOnAllowedPackages() {
        List<String> violations = new ArrayList<>();
        ALLOWED_DEPENDENCIES.forEach((name, allowed) -> violations.addAll(
                rule(name, allowed).evaluate(mainClasses).getFailureReport().getDetails()));
        assertThat(violations).isEmpty();
    }

    private static ArchRule rule(String name, List<String> allowed) {
        String[] allowedPackages = allowed.stream()
                .map(other -> other.isEmpty() ? ROOT : ROOT + "." + other)
                .toArray(String[]::new);
        return classes()
                .that()
                .resideInAPackage(ROOT + "." + name)
                .should()
                .onlyDependOnClassesThat(not(resideInAPackage(ROOT + ".."))
                        .or(resideInAPackage(ROOT + "." + name))
                        .or(resideInAnyPackage(allowedPackages)));
    }

    @Test
    void packagesAreFreeOfCycles() {
        slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(mainClasses);
    }
}
