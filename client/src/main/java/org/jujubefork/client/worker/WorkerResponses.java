package org.jujubefork.client.worker;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.MalformedResponseException;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;

/**
 * Maps responses of a worker to results. A response counts as a rejection only if its status and
 * its error code match; any other unexpected response is an unknown outcome.
 */
final class WorkerResponses {
    private static final String STALE_EPOCH = "STALE_EPOCH";

    private WorkerResponses() {}

    /** Reads the result from a response. */
    @FunctionalInterface
    private interface ResponseReader<T> {
        T read(CallResult.Response response) throws MalformedResponseException;
    }

    private static <T> T map(
            CallResult result,
            Function<String, T> notConnected,
            Function<String, T> unknown,
            ResponseReader<T> reader) {
        return switch (result) {
            case CallResult.NotConnected n -> notConnected.apply(n.reason());
            case CallResult.Unknown u -> unknown.apply(u.reason());
            case CallResult.Response response -> {
                try {
                    yield reader.read(response);
                } catch (MalformedResponseException e) {
                    yield unknown.apply(malformedBody(response, e));
                }
            }
        };
    }

    static LeaseResult lease(CallResult result) {
        return map(
                result,
                LeaseResult.NotConnected::new,
                LeaseResult.Unknown::new,
                WorkerResponses::leaseResponse);
    }

    private static LeaseResult leaseResponse(CallResult.Response response)
            throws MalformedResponseException {
        if (response.status() == 200) {
            return fields(response)
                    .decode(
                            "lease",
                            f -> readGrant(f, Optional.of(WorkerId.of(f.text("workerId")))));
        }
        return isError(response, 409, STALE_EPOCH)
                ? new LeaseResult.Refused(fields(response).epoch())
                : new LeaseResult.Unknown(unexpectedResponse(response));
    }

    private static LeaseResult readGrant(JsonFields fields, Optional<WorkerId> worker)
            throws MalformedResponseException {
        return new LeaseResult.Granted(
                worker,
                fields.number("incarnation"),
                readRevision(fields),
                fields.resources("capacity"),
                fields.intNumber("slots"),
                fields.flag("leaving"),
                fields.list("running", TaskJson::readRunningTask),
                fields.list("ended", TaskJson::readEndedTask));
    }

    private static long readRevision(JsonFields fields) throws MalformedResponseException {
        return fields.has("revision") ? fields.number("revision") : 0;
    }

    /**
     * Returns the result of a renewal whose request contained the revision of {@code baseSnapshot},
     * if present.
     */
    static LeaseResult renew(CallResult result, Optional<WorkerSnapshot> baseSnapshot) {
        return map(
                result,
                LeaseResult.NotConnected::new,
                LeaseResult.Unknown::new,
                response -> renewResponse(response, baseSnapshot));
    }

    private static LeaseResult renewResponse(
            CallResult.Response response, Optional<WorkerSnapshot> baseSnapshot)
            throws MalformedResponseException {
        if (response.status() == 200) {
            JsonFields f = fields(response);
            return f.has("since")
                    ? readPartialGrant(f, baseSnapshot)
                    : readGrant(f, Optional.empty());
        }
        if (isError(response, 409, "NO_LEASE")) {
            return new LeaseResult.NoLease(fields(response).number("incarnation"));
        }
        return isError(response, 409, STALE_EPOCH)
                ? new LeaseResult.Refused(fields(response).epoch())
                : new LeaseResult.Unknown(unexpectedResponse(response));
    }

    private static LeaseResult readPartialGrant(
            JsonFields fields, Optional<WorkerSnapshot> baseSnapshot)
            throws MalformedResponseException {
        if (baseSnapshot.isEmpty()) {
            throw new MalformedResponseException(
                    "partial response to a request for the full list of tasks");
        }
        WorkerSnapshot.Delta delta =
                fields.decode(
                        "changes",
                        f ->
                                new WorkerSnapshot.Delta(
                                        f.number("incarnation"),
                                        f.number("since"),
                                        f.listIfPresent("running", TaskJson::readRunningTask),
                                        f.listIfPresent("usage", TaskJson::readUsageUpdate),
                                        f.textsIfPresent("gone").stream().map(TaskId::of).toList(),
                                        f.intNumber("total")));
        return new LeaseResult.Granted(
                Optional.empty(),
                delta.incarnation(),
                fields.number("revision"),
                baseSnapshot.get().capacity(),
                baseSnapshot.get().slots(),
                fields.flag("leaving"),
                baseSnapshot.get().apply(delta),
                fields.listIfPresent("ended", TaskJson::readEndedTask));
    }

    static StartResult start(CallResult result, boolean isRequest) {
        return map(
                result,
                StartResult.NotConnected::new,
                StartResult.Unknown::new,
                response -> startResponse(response, isRequest));
    }

    private static StartResult startResponse(CallResult.Response response, boolean isRequest)
            throws MalformedResponseException {
        if (!isRequest && response.status() == 201) {
            return new StartResult.Started();
        }
        if (isRequest && response.status() == 200) {
            String type = response.headers().firstValue("Content-Type").orElse("");
            return new StartResult.Answered(type, response.streamedBytes());
        }
        if (isRequest && isError(response, 500, "TASK_ENDED")) {
            JsonFields f = fields(response);
            return new StartResult.Ended(
                    f.enumConstant("reason", EndReason.class), f.text("message"));
        }
        if (response.status() < 400) {
            return new StartResult.Unknown(unexpectedResponse(response));
        }
        JsonFields f = fields(response);
        String error = f.text("error");
        Optional<StartRefusal> refusal =
                Arrays.stream(StartRefusal.values())
                        .filter(
                                r ->
                                        RefusalStatus.of(r) == response.status()
                                                && r.name().equals(error))
                        .findFirst();
        if (refusal.isEmpty()) {
            return new StartResult.Unknown(unexpectedResponse(response));
        }
        Optional<Epoch> current = f.has("epoch") ? Optional.of(f.epoch()) : Optional.empty();
        return new StartResult.Refused(
                refusal.get(), current, f.textIfPresent("message").orElse(""));
    }

    static CommandResult command(CallResult result) {
        return map(
                result,
                CommandResult.NotConnected::new,
                CommandResult.Unknown::new,
                WorkerResponses::commandResponse);
    }

    private static CommandResult commandResponse(CallResult.Response response)
            throws MalformedResponseException {
        if (response.status() == 200) {
            return new CommandResult.Accepted();
        }
        if (isError(response, 404, "NO_SUCH_TASK")) {
            return new CommandResult.NoSuchTask();
        }
        return isError(response, 409, STALE_EPOCH)
                ? new CommandResult.Refused(fields(response).epoch())
                : new CommandResult.Unknown(unexpectedResponse(response));
    }

    private static boolean isError(CallResult.Response response, int status, String error)
            throws MalformedResponseException {
        return response.status() == status && fields(response).text("error").equals(error);
    }

    private static JsonFields fields(CallResult.Response response)
            throws MalformedResponseException {
        return JsonFields.parse(response.body());
    }

    private static String unexpectedResponse(CallResult.Response response) {
        return "unexpected response with status " + response.status();
    }

    private static String malformedBody(
            CallResult.Response response, MalformedResponseException e) {
        return "status " + response.status() + " with a malformed body: " + e.getMessage();
    }
}
