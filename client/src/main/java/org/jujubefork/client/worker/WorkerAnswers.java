package org.jujubefork.client.worker;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.MalformedAnswerException;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;

/**
 * Maps answers of a worker to results. A refusal counts only if status and error code agree;
 * anything else that is not understood is an unknown outcome.
 */
final class WorkerAnswers {
    private static final String STALE_EPOCH = "STALE_EPOCH";

    private WorkerAnswers() {}

    /** Reads a reply. */
    @FunctionalInterface
    private interface Reading<T> {
        T read(CallResult.Reply reply) throws MalformedAnswerException;
    }

    private static <T> T result(
            CallResult result,
            Function<String, T> notConnected,
            Function<String, T> unknown,
            Reading<T> reading) {
        return switch (result) {
            case CallResult.NotConnected n -> notConnected.apply(n.reason());
            case CallResult.Unknown u -> unknown.apply(u.reason());
            case CallResult.Reply reply -> {
                try {
                    yield reading.read(reply);
                } catch (MalformedAnswerException e) {
                    yield unknown.apply(malformed(reply, e));
                }
            }
        };
    }

    static LeaseResult lease(CallResult result) {
        return result(
                result,
                LeaseResult.NotConnected::new,
                LeaseResult.Unknown::new,
                WorkerAnswers::leaseReply);
    }

    private static LeaseResult leaseReply(CallResult.Reply reply) throws MalformedAnswerException {
        if (reply.status() == 200) {
            return fields(reply)
                    .model("lease", f -> granted(f, Optional.of(WorkerId.of(f.text("workerId")))));
        }
        return isError(reply, 409, STALE_EPOCH)
                ? new LeaseResult.Refused(fields(reply).epoch())
                : new LeaseResult.Unknown(unexpected(reply));
    }

    private static LeaseResult granted(JsonFields fields, Optional<WorkerId> worker)
            throws MalformedAnswerException {
        return new LeaseResult.Granted(
                worker,
                fields.number("incarnation"),
                revision(fields),
                fields.resources("capacity"),
                fields.smallNumber("slots"),
                fields.flag("leaving"),
                fields.list("running", TaskJson::running),
                fields.list("ended", TaskJson::ended));
    }

    private static long revision(JsonFields fields) throws MalformedAnswerException {
        return fields.has("revision") ? fields.number("revision") : 0;
    }

    /** Returns the result of a renewal that named the revision of {@code base}, if there is one. */
    static LeaseResult renew(CallResult result, Optional<WorkerView> base) {
        return result(
                result,
                LeaseResult.NotConnected::new,
                LeaseResult.Unknown::new,
                reply -> renewReply(reply, base));
    }

    private static LeaseResult renewReply(CallResult.Reply reply, Optional<WorkerView> base)
            throws MalformedAnswerException {
        if (reply.status() == 200) {
            JsonFields f = fields(reply);
            return f.has("since") ? partial(f, base) : granted(f, Optional.empty());
        }
        if (isError(reply, 409, "NO_LEASE")) {
            return new LeaseResult.NoLease(fields(reply).number("incarnation"));
        }
        return isError(reply, 409, STALE_EPOCH)
                ? new LeaseResult.Refused(fields(reply).epoch())
                : new LeaseResult.Unknown(unexpected(reply));
    }

    private static LeaseResult partial(JsonFields fields, Optional<WorkerView> base)
            throws MalformedAnswerException {
        if (base.isEmpty()) {
            throw new MalformedAnswerException("partial answer to a request for a full one");
        }
        WorkerView.Changes changes =
                fields.model(
                        "changes",
                        f ->
                                new WorkerView.Changes(
                                        f.number("incarnation"),
                                        f.number("since"),
                                        f.listIfPresent("running", TaskJson::running),
                                        f.listIfPresent("usage", TaskJson::usage),
                                        f.textsIfPresent("gone").stream().map(TaskId::of).toList(),
                                        f.smallNumber("total")));
        return new LeaseResult.Granted(
                Optional.empty(),
                changes.incarnation(),
                fields.number("revision"),
                base.get().capacity(),
                base.get().slots(),
                fields.flag("leaving"),
                base.get().apply(changes),
                fields.listIfPresent("ended", TaskJson::ended));
    }

    static StartResult start(CallResult result, boolean request) {
        return result(
                result,
                StartResult.NotConnected::new,
                StartResult.Unknown::new,
                reply -> startReply(reply, request));
    }

    private static StartResult startReply(CallResult.Reply reply, boolean request)
            throws MalformedAnswerException {
        if (!request && reply.status() == 201) {
            return new StartResult.Started();
        }
        if (request && reply.status() == 200) {
            String type = reply.headers().firstValue("Content-Type").orElse("");
            return new StartResult.Answered(type, reply.streamedBytes());
        }
        if (request && isError(reply, 500, "TASK_ENDED")) {
            JsonFields f = fields(reply);
            return new StartResult.Ended(f.constant("reason", EndReason.class), f.text("message"));
        }
        if (reply.status() < 400) {
            return new StartResult.Unknown(unexpected(reply));
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
            return new StartResult.Unknown(unexpected(reply));
        }
        Optional<Epoch> current = f.has("epoch") ? Optional.of(f.epoch()) : Optional.empty();
        return new StartResult.Refused(
                refusal.get(), current, f.textIfPresent("message").orElse(""));
    }

    static CommandResult command(CallResult result) {
        return result(
                result,
                CommandResult.NotConnected::new,
                CommandResult.Unknown::new,
                WorkerAnswers::commandReply);
    }

    private static CommandResult commandReply(CallResult.Reply reply)
            throws MalformedAnswerException {
        if (reply.status() == 200) {
            return new CommandResult.Accepted();
        }
        if (isError(reply, 404, "NO_SUCH_TASK")) {
            return new CommandResult.NoSuchTask();
        }
        return isError(reply, 409, STALE_EPOCH)
                ? new CommandResult.Refused(fields(reply).epoch())
                : new CommandResult.Unknown(unexpected(reply));
    }

    private static boolean isError(CallResult.Reply reply, int status, String error)
            throws MalformedAnswerException {
        return reply.status() == status && fields(reply).text("error").equals(error);
    }

    private static JsonFields fields(CallResult.Reply reply) throws MalformedAnswerException {
        return JsonFields.parse(reply.body());
    }

    private static String unexpected(CallResult.Reply reply) {
        return "unexpected answer with status " + reply.status();
    }

    private static String malformed(CallResult.Reply reply, MalformedAnswerException e) {
        return "status " + reply.status() + " with a malformed body: " + e.getMessage();
    }
}
