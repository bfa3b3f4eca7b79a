package org.gooseberryhill;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that only the adapter contains the platform's names on the wire, so that they are decoded in one place. */
class WireNamesTest {
    private static final Pattern PLATFORM_NAMES = Pattern.compile(
            "(?i)x-(server-stamp|expect-instance|instance-id|not-executed|deadline-ms|token-usage|prompt-prefix|wait-ms)"
                    + "|/gooseberryhill/(kv|lots|items|report|ready)|\"(op|servers|status)/|dead_lettered|kv-(key|txn|watch)");

    @Test
    void noSourceOutsideTheAdapterContainsPlatformNames() throws IOException {
        List<Path> sources;
        try (Stream<Path> files = Files.walk(Path.of("src/main"))) {
            sources = files.filter(Files::isRegularFile).toList();
        }
        assertThat(sources).isNotEmpty();
        assertThat(sources).noneMatch(WireNamesTest::containsPlatformName);
    }

    private static boolean containsPlatformName(Path source) {
        try {
            return PLATFORM_NAMES.matcher(Files.readString(source)).find();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
