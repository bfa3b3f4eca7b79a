package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.dialect.TrafficDialect;
import org.gooseberryhill.http.ResponseMatcher;

/**
 * Matches the answers that state the id of a request, or no id. Immutable.
 *
 * @param dialect reads the id that an answer states
 * @param id the id of the request
 */
record RequestIdMatcher(TrafficDialect dialect, String id) implements ResponseMatcher {
    @Override
    public boolean matches(HttpHeaders answer) {
        return dialect.requestId(answer).map(id::equals).orElse(true);
    }

    @Override
    public boolean statesRequest(HttpHeaders answer) {
        return dialect.requestId(answer).isPresent();
    }

    @Override
    public boolean promisesNotRun(int status, HttpHeaders answer) {
        return dialect.isNotRun(status, answer);
    }

    @Override
    public boolean provesSecondResponse(HttpHeaders answer, Collection<String> carriedIds) {
        Optional<String> stated = dialect.requestId(answer);
        return stated.isPresent() && (carriedIds.contains(stated.get()) || dialect.isSigned(answer));
    }

    @Override
    public Optional<String> requestId() {
        return Optional.of(id).filter(stated -> !stated.isBlank());
    }

    @Override
    public List<String> singleFields() {
        return dialect.singleAnswerFields();
    }
}
