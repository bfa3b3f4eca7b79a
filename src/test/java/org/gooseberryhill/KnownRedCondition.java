package org.gooseberryhill;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Disables the tests that KNOWN-RED.txt lists, which fail because of a known fault. Stateless.
 *
 * <p>An entry begins with {@code Class#method} at the start of a line. Tests that are not listed always run. The condition is
 * registered for all tests through {@code META-INF/services}.
 */
public final class KnownRedCondition implements ExecutionCondition {
    private static final Path LIST = Path.of("KNOWN-RED.txt");
    private static final Pattern ENTRY = Pattern.compile("^(\\w+#\\w+)");

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        Optional<String> test = context.getTestMethod()
                .map(method -> context.getRequiredTestClass().getSimpleName() + "#" + method.getName());
        if (test.isPresent() && listedTests().contains(test.get())) {
            return ConditionEvaluationResult.disabled(test.get() + " is listed in " + LIST);
        }
        return ConditionEvaluationResult.enabled("not listed in " + LIST);
    }

    private static Set<String> listedTests() {
        if (!Files.exists(LIST)) {
            return Set.of();
        }
        try {
            return Files.readAllLines(LIST).stream()
                    .map(ENTRY::matcher)
                    .filter(Matcher::find)
                    .map(matcher -> matcher.group(1))
                    .collect(Collectors.toSet());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
