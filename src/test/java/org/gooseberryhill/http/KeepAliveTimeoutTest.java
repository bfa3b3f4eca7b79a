package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class KeepAliveTimeoutTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {"timeout=5; 5", "timeout=5, max=100; 5", "max=100, Timeout = 12; 12", "timeout=0; 0"})
    void theTimeoutIsFoundAmongTheParameters(String header, long seconds) {
        assertThat(KeepAliveTimeout.seconds(header)).hasValue(seconds);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "max=100", "timeout", "timeout=", "timeout=soon", "timeout=-1", "timeout=1234567"})
    void aHeaderWithoutAWholeNumberGivesNoTimeout(String header) {
        assertThat(KeepAliveTimeout.seconds(header)).isEmpty();
    }
}
