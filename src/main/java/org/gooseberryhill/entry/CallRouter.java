package org.gooseberryhill.entry;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.configuration.CallerSettings;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.ServiceSettings;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.online.OnlineRequestInfo;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.http.BodyCollector;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.process.AdminServer;

/** Routes the HTTP calls of callers to their handlers. Thread-safe. */
final class CallRouter {
    private static final String SERVICES = "/services/";
    private static final String DEADLINE_HEADER = "x-deadline-millis";
    private static final String IDEMPOTENCY_HEADER = "idempotency-key";
    private static final int PROMPT_PREFIX_CHARACTERS = 64;
    private static final int MAX_IDEMPOTENCY_KEY_CHARACTERS = 255;
    private static final int MAX_IGNORED_BODY_BYTES = 1024 * 1024;
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    private final EntryContext context;
    private final JobRouter jobRouter;

    CallRouter(EntryContext context) {
        this.context = context;
        this.jobRouter = new JobRouter(context);
    }

    /** Routes a call by its head and returns the handler of its body. */
    RequestBodyHandler route(HttpCall call) {
        String path = call.path();
        switch (path) {
            case "/healthz":
                return runAfterBody(call, () -> call.reply(200, JSON_HEADERS, Json.bytes(Map.of("alive", true))));
            case "/readyz":
                return runAfterBody(call, () -> replyReadiness(call));
            case "/metrics":
                return runAfterBody(call, () -> replyMetrics(call));
            default:
                return routeAuthenticated(call);
        }
    }

    private RequestBodyHandler routeAuthenticated(HttpCall call) {
        String requestId = requestId(call);
        Optional<CallerSettings> caller = context.access().authenticate(call);
        if (caller.isEmpty()) {
            return refuseAfterBody(
                    call, requestId, ErrorCode.UNAUTHENTICATED, "the bearer key is missing or not known");
        }
        String path = call.path();
        boolean post = call.method().equals("POST");
        if (post && (path.equals("/v1/chat/completions") || path.equals("/v1/completions"))) {
            return collectBody(call, requestId, body -> startModelCall(call, requestId, caller.get(), body));
        }
        if (path.equals("/v1/models") && call.method().equals("GET")) {
            return runAfterBody(call, () -> replyModels(call, caller.get()));
        }
        if (path.startsWith(SERVICES)) {
            return collectBody(call, requestId, body -> startPlainCall(call, requestId, caller.get(), body));
        }
        if (path.equals(JobRouter.PATH) || path.startsWith(JobRouter.PATH + "/")) {
            return jobRouter.route(call, requestId, caller.get());
        }
        return refuseAfterBody(call, requestId, ErrorCode.NOT_FOUND, "there is no " + call.method() + " " + path);
    }

    private void startModelCall(HttpCall call, String requestId, CallerSettings caller, byte[] body) {
        Try<JsonNode> json = Json.tree(body);
        if (json.isFailure() || !json.get().isObject()) {
            refuse(call, requestId, ErrorCode.INVALID_REQUEST, "the body is not a JSON object");
            return;
        }
        String model = json.get().path("model").asText("");
        Optional<ServiceSettings> service = serviceOf(caller, model);
        if (service.isEmpty()) {
            refuse(call, requestId, ErrorCode.NOT_FOUND, "there is no model \"" + model + "\" for this caller");
            return;
        }
        if (!json.get().has("messages") && !json.get().has("prompt")) {
            refuse(call, requestId, ErrorCode.INVALID_REQUEST, "neither \"messages\" nor \"prompt\" is there");
            return;
        }
        OnlineRequestInfo requestInfo = new OnlineRequestInfo(
                requestId,
                caller.name(),
                service.get().name(),
                Fingerprint.of(service.get().name(), body),
                promptPrefixHash(json.get()),
                true,
                deadlineNanos(call));
        new ModelCall(context, call, requestInfo, service.get(), body).begin();
    }

    private void startPlainCall(HttpCall call, String requestId, CallerSettings caller, byte[] body) {
        String nameAndTarget = call.target().substring(SERVICES.length());
        int nameEnd = indexOfPathOrQuery(nameAndTarget);
        String name = nameAndTarget.substring(0, nameEnd);
        String target = nameAndTarget.length() == nameEnd || nameAndTarget.charAt(nameEnd) == '?'
                ? "/" + nameAndTarget.substring(nameEnd)
                : nameAndTarget.substring(nameEnd);
        Configuration configuration = context.access().configuration();
        Optional<ServiceSettings> service = Optional.ofNullable(
                        configuration.services().get(name))
                .filter(found -> found.model().isEmpty() && caller.services().contains(name));
        if (service.isEmpty()) {
            refuse(call, requestId, ErrorCode.NOT_FOUND, "there is no service \"" + name + "\" for this caller");
            return;
        }
        boolean idempotent = !service.get().isNonIdempotent(call.method(), target);
        Fingerprint fingerprint = Fingerprint.of(name + " " + call.method() + " " + target, body);
        Optional<String> idempotencyKey = Optional.ofNullable(call.headers().get(IDEMPOTENCY_HEADER));
        if (idempotencyKey.isPresent() && idempotencyKey.get().length() > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
            refuse(call, requestId, ErrorCode.INVALID_REQUEST, "the idempotency key is too long");
            return;
        }
        Optional<ClaimDriver> claim = idempotencyKey
                .filter(found -> !idempotent)
                .map(found ->
                        new ClaimDriver(context.process(), caller.name(), name + "\n" + found, fingerprint.value()));
        OnlineRequestInfo requestInfo =
                new OnlineRequestInfo(requestId, caller.name(), name, fingerprint, 0, idempotent, deadlineNanos(call));
        new PlainCall(context, call, requestInfo, target, body, claim).begin();
    }

    private Optional<ServiceSettings> serviceOf(CallerSettings caller, String model) {
        return context.access()
                .configuration()
                .serviceOfModel(model)
                .filter(service -> caller.services().contains(service.name()));
    }

    private void replyModels(HttpCall call, CallerSettings caller) {
        ObjectNode response = Json.object().put("object", "list");
        ArrayNode data = response.putArray("data");
        for (ServiceSettings service :
                context.access().configuration().services().values()) {
            if (caller.services().contains(service.name())) {
                service.model()
                        .ifPresent(model -> data.addObject().put("id", model).put("object", "model"));
            }
        }
        call.reply(200, JSON_HEADERS, Json.bytes(response));
    }

    private void replyReadiness(HttpCall call) {
        context.process().loop().execute(() -> {
            boolean serving = context.process().plannedStop().phase() == PlannedStop.Phase.SERVING;
            long revision = context.process().configuration().revision();
            // While no store is present, every job would be refused, so the balancer should use another host.
            boolean storesPresent = !context.process().presentHosts(Role.STORE).isEmpty();
            boolean ready = serving && revision > 0 && storesPresent;
            call.reply(
                    ready ? 200 : 503,
                    JSON_HEADERS,
                    Json.bytes(Json.object().put("ready", ready).put("configuration", revision)));
        });
    }

    private void replyMetrics(HttpCall call) {
        context.process()
                .loop()
                .execute(() -> AdminServer.replyMetrics(call, context.metrics().registry()));
    }

    private long deadlineNanos(HttpCall call) {
        long millis = Try.of(() -> Long.parseLong(call.headers().get(DEADLINE_HEADER, "")))
                .getOrElse(context.settings().defaultDeadlineMillis());
        return context.process().loop().nowNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private RequestBodyHandler collectBody(HttpCall call, String requestId, Consumer<byte[]> onBody) {
        int maxBytes = context.settings().maxBodyBytes();
        return new BodyCollector(
                maxBytes,
                onBody,
                () -> refuse(call, requestId, ErrorCode.TOO_LARGE, "the body has more than " + maxBytes + " bytes"));
    }

    private static RequestBodyHandler runAfterBody(HttpCall call, Runnable action) {
        return new BodyCollector(
                MAX_IGNORED_BODY_BYTES, body -> action.run(), () -> call.reply(413, JSON_HEADERS, new byte[0]));
    }

    private static RequestBodyHandler refuseAfterBody(HttpCall call, String requestId, ErrorCode code, String message) {
        return runAfterBody(call, () -> refuse(call, requestId, code, message));
    }

    private static void refuse(HttpCall call, String requestId, ErrorCode code, String message) {
        ErrorResponse.reply(call, requestId, Refusal.notRun(code, message));
    }

    private static String requestId(HttpCall call) {
        return Optional.ofNullable(call.headers().get("x-request-id"))
                .filter(id -> id.matches("[A-Za-z0-9_-]{1,64}"))
                .orElseGet(() -> UUID.randomUUID().toString());
    }

    private static int indexOfPathOrQuery(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) == '/' || text.charAt(i) == '?') {
                return i;
            }
        }
        return text.length();
    }

    private static long promptPrefixHash(JsonNode request) {
        String prompt = request.has("prompt")
                ? request.path("prompt").asText()
                : request.path("messages").path(0).path("content").asText();
        String prefix = prompt.substring(0, Math.min(PROMPT_PREFIX_CHARACTERS, prompt.length()));
        return prefix.isEmpty() ? 0 : Hashing.komihash5_0().hashBytesToLong(prefix.getBytes(StandardCharsets.UTF_8));
    }
}
