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
 * Maps answers of a worker to results. A refusal counts only if status and error code agree;
 * anything else that is not understood is an unknown outcome.
 */
final class WorkerResponses {
    private static final String STALE_EPOCH = "STALE_EPOCH";

    private WorkerResponses() {}

    /** Reads a reply. */
    @FunctionalInterface
    private interface ResponseReader<T> {
        T read(CallResult.Response reply) throws MalformedResponseException;
    }

    private static <T> T map(
            CallResult result,
            Function<String, T> notConnected,
            Function<String, T> unknown,
            ResponseReader<T> reading) {
        return switch (result) {
            case CallResult.NotConnected n -> notConnected.apply(n.reason());
            case CallResult.Unknown u -> unknown.apply(u.reason());
            case CallResult.Response reply -> {
                try {
                    yield reading.read(reply);
                } catch (MalformedResponseException e) {
                    yield unknown.apply(malformedBody(reply, e));
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

    private static LeaseResult leaseResponse(CallResult.Response reply)
            throws MalformedResponseException {
        if (reply.status() == 200) {
            return fields(reply)
                    .decode(
                            "lease",
                            f -> readGrant(f, Optional.of(WorkerId.of(f.text("workerId")))));
        }
        return isError(reply, 409, STALE_EPOCH)
                ? new LeaseResult.Refused(fields(reply).epoch())
                : new LeaseResult.Unknown(unexpectedResponse(reply));
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

    /** Returns the result of a renewal that named the revision of {@code base}, if there is one. */
    static LeaseResult renew(CallResult result, Optional<WorkerSnapshot> base) {
        return map(
                result,
                LeaseResult.NotConnected::new,
                LeaseResult.Unknown::new,
                reply -> renewResponse(reply, base));
    }

    private static LeaseResult renewResponse(
            CallResult.Response reply, Optional<WorkerSnapshot> base)
            throws MalformedResponseException {
        if (reply.status() == 200) {
            JsonFields f = fields(reply);
            return f.has("since") ? readPartialGrant(f, base) : readGrant(f, Optional.empty());
        }
        if (isError(reply, 409, "NO_LEASE")) {
            return new LeaseResult.NoLease(fields(reply).number("incarnation"));
        }
        return isError(reply, 409, STALE_EPOCH)
                ? new LeaseResult.Refused(fields(reply).epoch())
                : new LeaseResult.Unknown(unexpectedResponse(reply));
    }

    private static LeaseResult readPartialGrant(JsonFields fields, Optional<WorkerSnapshot> base)
            throws MalformedResponseException {
        if (base.isEmpty()) {
            throw new MalformedResponseException("partial answer to a request for a full one");
        }
        WorkerSnapshot.Delta changes =
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
                changes.incarnation(),
                fields.number("revision"),
                base.get().capacity(),
                base.get().slots(),
                fields.flag("leaving"),
                base.get().apply(changes),
                fields.listIfPresent("ended", TaskJson::readEndedTask));
    }

    static StartResult start(CallResult result, boolean isRequest) {
        return map(
                result,
                StartResult.NotConnected::new,
                StartResult.Unknown::new,
                reply -> startResponse(reply, isRequest));
    }

    private static StartResult startResponse(CallResult.Response reply, boolean isRequest)
            throws MalformedResponseException {
        if (!isRequest && reply.status() == 201) {
            return new StartResult.Started();
        }
        if (isRequest && reply.status() == 200) {
            String type = reply.headers().firstValue("Content-Type").orElse("");
            return new StartResult.Answered(type, reply.streamedBytes());
        }
        if (isRequest && isError(reply, 500, "TASK_ENDED")) {
            JsonFields f = fields(reply);
            return new StartResult.Ended(
                    f.enumConstant("reason", EndReason.class), f.text("message"));
        }
        if (reply.status() < 400) {
            return new StartResult.Unknown(unexpectedResponse(reply));
        }
        JsonFields f = fields(reply);
        String error = f.text("error");
        Optional<StartRefusal> refusal =
                Arrays.stream(StartRefusal.values())
                        .filter(
                                r ->
                                        RefusalStatus.of(r) == reply.status()
                                                && r.name().equals(error))
                        .findFirst();
        if (refusal.isEmpty()) {
            return new StartResult.Unknown(unexpectedResponse(reply));
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

    private static CommandResult commandResponse(CallResult.Response reply)
            throws MalformedResponseException {
        if (reply.status() == 200) {
            return new CommandResult.Accepted();
        }
        if (isError(reply, 404, "NO_SUCH_TASK")) {
            return new CommandResult.NoSuchTask();
        }
        return isError(reply, 409, STALE_EPOCH)
                ? new CommandResult.Refused(fields(reply).epoch())
                : new CommandResult.Unknown(unexpectedResponse(reply));
    }

    private static boolean isError(CallResult.Response reply, int status, String error)
            throws MalformedResponseException {
        return reply.status() == status && fields(reply).text("error").equals(error);
    }

    private static JsonFields fields(CallResult.Response reply) throws MalformedResponseException {
        return JsonFields.parse(reply.body());
    }

    private static String unexpectedResponse(CallResult.Response reply) {
        return "unexpected answer with status " + reply.status();
    }

    private static String malformedBody(CallResult.Response reply, MalformedResponseException e) {
        return "status " + reply.status() + " with a malformed body: " + e.getMessage();
    }
}
