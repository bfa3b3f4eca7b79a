package org.gooseberryhill.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhill.standin.SampleFleet;
import org.junit.jupiter.api.Test;

class ConfigurationReaderTest {
    private static final String DAMAGING_CHARACTERS = ":{}[]-#\"'\n &*!|>%@`\t";
    private static final String SAMPLE = new SampleFleet(18400, 12).configuration();

    @Test
    void theSampleIsRead() {
        Configuration configuration = ConfigurationReader.read("sample", SAMPLE).get();

        assertThat(configuration.endpointsOf("tutor")).hasSize(12);
        assertThat(configuration.serviceOfModel("tutor-7b").orElseThrow().name())
                .isEqualTo("tutor");
        assertThat(configuration.services().get("bookings").isNonIdempotent("POST", "/bookings?seat=4"))
                .isTrue();
        assertThat(configuration.services().get("bookings").isNonIdempotent("GET", "/bookings"))
                .isFalse();
        assertThat(configuration.services().get("bookings").isNonIdempotent("POST", "/bookings-list"))
                .isFalse();
    }

    /** A text with twenty errors: all of them are reported at once, each with its position and a remedy. */
    @Test
    void allErrorsAreReportedTogetherWithTheirPositions() throws IOException {
        List<Finding> findings = ConfigurationReader.read("fleet.yaml", resource("twenty-mistakes.yaml"))
                .getLeft();

        String expected = resource("twenty-mistakes.expected").strip();
        String actual = String.join(
                "\n",
                findings.stream()
                        .map(finding -> "%d:%d %s %s"
                                .formatted(
                                        finding.place().line(),
                                        finding.place().column(),
                                        finding.key(),
                                        finding.messageKey()))
                        .toList());
        assertThat(actual).isEqualTo(expected);
        assertThat(findings).hasSize(20).allMatch(finding -> !finding.remedy().isBlank());
    }

    /** Guards against a second finding that sends the reader after an address which nobody wrote. */
    @Test
    void endpointsWithoutAValidAddressAreNotReportedAsSharingOne() {
        String text = """
                models: {m: {version: "1"}}
                services: {s: {model: m}}
                endpoints:
                  e0: {service: s, address: "nowhere", zone: a, slots: 4}
                  e1: {service: s, zone: a, slots: 4}
                """;

        List<Finding> findings = ConfigurationReader.read("f", text).getLeft();

        assertThat(findings)
                .extracting(Finding::key)
                .containsExactlyInAnyOrder("endpoints.e0.address", "endpoints.e1.address");
    }

    @Test
    void aTextThatIsNotYamlIsReportedWithItsPosition() {
        Finding finding =
                ConfigurationReader.read("f", "services:\n  a: [\n").getLeft().get(0);

        assertThat(finding.messageKey()).isEqualTo("yaml.syntax");
        assertThat(finding.place().line()).isGreaterThan(1);
    }

    @Test
    void anEmptyTextIsAnEmptyConfiguration() {
        assertThat(ConfigurationReader.read("f", "").get().services()).isEmpty();
    }

    /** Guards against exceptions on texts damaged by an editor or a broken copy. */
    @Property(seed = "20261203")
    void anyDamagedTextEndsInAConfigurationOrFindings(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder(SAMPLE);
        for (int i = 0; i < 1 + random.nextInt(10); i++) {
            int index = random.nextInt(text.length());
            switch (random.nextInt(3)) {
                case 0 -> text.deleteCharAt(index);
                case 1 -> text.insert(index, DAMAGING_CHARACTERS.charAt(random.nextInt(DAMAGING_CHARACTERS.length())));
                default -> text.setLength(Math.max(1, index));
            }
        }

        assertThat(ConfigurationReader.read("f", text.toString())).isNotNull();
    }

    private static String resource(String name) throws IOException {
        try (InputStream stream = ConfigurationReaderTest.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
