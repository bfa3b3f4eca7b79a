package org.gooseberryhill.entry;

import io.vavr.control.Try;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.configuration.CallerSettings;
import org.gooseberryhill.configuration.ServiceSettings;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.http.BodyCollector;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.RequestBodyHandler;

/** Routes the calls below {@code /v1/jobs}. A caller can reach only its own jobs, since job keys contain its name. */
final class JobRouter {
    static final String PATH = "/v1/jobs";

    private static final String RESULTS = "/results";
    private static final int MAX_IGNORED_BODY_BYTES = 1024 * 1024;
    private static final long DEFAULT_DUE_MILLIS = TimeUnit.HOURS.toMillis(24);

    private final EntryContext context;
    private final JobOperations operations;

    JobRouter(EntryContext context) {
        this.context = context;
        this.operations = new JobOperations(context);
    }

    RequestBodyHandler route(HttpCall call, String requestId, CallerSettings caller) {
        if (!caller.maySubmitJobs()) {
            return refuseAfterBody(call, requestId, ErrorCode.NOT_FOUND, "this caller may not submit jobs");
        }
        String subpath = call.path().substring(PATH.length());
        if (subpath.isEmpty() || subpath.equals("/")) {
            return runAfterBody(call, () -> operations.listOpen(call, requestId, caller.name()));
        }
        boolean forResults = subpath.endsWith(RESULTS);
        String id = forResults ? subpath.substring(1, subpath.length() - RESULTS.length()) : subpath.substring(1);
        if (!JobKey.isValidId(id)) {
            return refuseAfterBody(
                    call, requestId, ErrorCode.INVALID_REQUEST, "a job's id must fit " + JobKey.ID_PATTERN);
        }
        JobKey key = new JobKey(caller.name(), id);
        String action = call.method() + (forResults ? RESULTS : "");
        return switch (action) {
            case "PUT" -> submit(call, requestId, caller, key);
            case "GET" -> runAfterBody(call, () -> operations.replyStatus(call, requestId, key));
            case "GET" + RESULTS -> runAfterBody(call, () -> streamResults(call, requestId, key));
            case "DELETE" -> runAfterBody(call, () -> operations.cancel(call, requestId, key));
            default -> refuseAfterBody(call, requestId, ErrorCode.NOT_FOUND, "a job takes PUT, GET and DELETE");
        };
    }

    private RequestBodyHandler submit(HttpCall call, String requestId, CallerSettings caller, JobKey key) {
        if (!context.process().plannedStop().acceptsAllRequests()) {
            return refuseAfterBody(call, requestId, ErrorCode.STOPPING, "this host is stopping");
        }
        String model = call.parameter("model").orElse("");
        Optional<ServiceSettings> service = context.access()
                .configuration()
                .serviceOfModel(model)
                .filter(found -> caller.services().contains(found.name()));
        if (service.isEmpty()) {
            return refuseAfterBody(
                    call, requestId, ErrorCode.NOT_FOUND, "there is no model \"" + model + "\" for this caller");
        }
        Optional<Long> due = dueMillis(call);
        if (due.isEmpty()) {
            return refuseAfterBody(
                    call, requestId, ErrorCode.INVALID_REQUEST, "due must be a time such as 2026-12-03T18:00:00Z");
        }
        JobRequest request = new JobRequest(requestId, key, service.get().name(), model, due.get());
        context.process().loop().execute(context.traffic()::requestStarted);
        return new JobSubmissionHandler(
                context, call, request, () -> context.process().loop().execute(context.traffic()::requestEnded));
    }

    private void streamResults(HttpCall call, String requestId, JobKey key) {
        int offset = Try.of(() -> Integer.parseInt(call.parameter("offset").orElse("0")))
                .getOrElse(-1);
        if (offset < 0) {
            ErrorResponse.reply(
                    call,
                    requestId,
                    Refusal.notRun(ErrorCode.INVALID_REQUEST, "offset must be a whole number from 0 on"));
            return;
        }
        operations.streamResults(call, requestId, key, offset);
    }

    private static Optional<Long> dueMillis(HttpCall call) {
        Optional<String> due = call.parameter("due");
        if (due.isEmpty()) {
            return Optional.of(System.currentTimeMillis() + DEFAULT_DUE_MILLIS);
        }
        return Try.of(() -> Instant.parse(due.get()).toEpochMilli()).toJavaOptional();
    }

    private static RequestBodyHandler runAfterBody(HttpCall call, Runnable action) {
        return new BodyCollector(
                MAX_IGNORED_BODY_BYTES,
                body -> action.run(),
                () -> ErrorResponse.reply(
                        call, "", Refusal.notRun(ErrorCode.TOO_LARGE, "the call takes no body of this size")));
    }

    private static RequestBodyHandler refuseAfterBody(HttpCall call, String requestId, ErrorCode code, String message) {
        return runAfterBody(call, () -> ErrorResponse.reply(call, requestId, Refusal.notRun(code, message)));
    }
}
