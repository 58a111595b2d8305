package org.jujubefork.client.worker;

import java.util.Arrays;
import java.util.Optional;
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

    static LeaseResult lease(CallResult result) {
        return switch (result) {
            case CallResult.NotConnected n -> new LeaseResult.NotConnected(n.reason());
            case CallResult.Unknown u -> new LeaseResult.Unknown(u.reason());
            case CallResult.Reply reply -> {
                try {
                    yield leaseReply(reply);
                } catch (MalformedAnswerException e) {
                    yield new LeaseResult.Unknown(malformed(reply, e));
                }
            }
        };
    }

    private static LeaseResult leaseReply(CallResult.Reply reply) throws MalformedAnswerException {
        if (reply.status() == 200) {
            return fields(reply)
                    .model(
                            "lease",
                            f ->
                                    new LeaseResult.Granted(
                                            WorkerId.of(f.text("workerId")),
                                            f.number("incarnation"),
                                            revision(f),
                                            f.resources("capacity"),
                                            f.smallNumber("slots"),
                                            f.flag("leaving"),
                                            f.list("running", TaskJson::running),
                                            f.list("ended", TaskJson::ended)));
        }
        return isError(reply, 409, STALE_EPOCH)
                ? new LeaseResult.Refused(fields(reply).epoch())
                : new LeaseResult.Unknown(unexpected(reply));
    }

    private static long revision(JsonFields fields) throws MalformedAnswerException {
        return fields.has("revision") ? fields.number("revision") : 0;
    }

    /** Returns the result of a renewal that named the revision of {@code base}, if there is one. */
    static RenewResult renew(CallResult result, Optional<WorkerView> base) {
        return switch (result) {
            case CallResult.NotConnected n -> new RenewResult.NotConnected(n.reason());
            case CallResult.Unknown u -> new RenewResult.Unknown(u.reason());
            case CallResult.Reply reply -> {
                try {
                    yield renewReply(reply, base);
                } catch (MalformedAnswerException e) {
                    yield new RenewResult.Unknown(malformed(reply, e));
                }
            }
        };
    }

    private static RenewResult renewReply(CallResult.Reply reply, Optional<WorkerView> base)
            throws MalformedAnswerException {
        if (reply.status() == 200) {
            JsonFields f = fields(reply);
            if (f.has("since")) {
                return partial(f, base);
            }
            return new RenewResult.Renewed(
                    f.number("incarnation"),
                    revision(f),
                    f.resources("capacity"),
                    f.smallNumber("slots"),
                    f.flag("leaving"),
                    f.list("running", TaskJson::running),
                    f.list("ended", TaskJson::ended));
        }
        if (isError(reply, 409, "NO_LEASE")) {
            return new RenewResult.NoLease(fields(reply).number("incarnation"));
        }
        return isError(reply, 409, STALE_EPOCH)
                ? new RenewResult.Refused(fields(reply).epoch())
                : new RenewResult.Unknown(unexpected(reply));
    }

    private static RenewResult partial(JsonFields fields, Optional<WorkerView> base)
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
        return new RenewResult.Renewed(
                changes.incarnation(),
                fields.number("revision"),
                base.get().capacity(),
                base.get().slots(),
                fields.flag("leaving"),
                base.get().apply(changes),
                fields.listIfPresent("ended", TaskJson::ended));
    }

    static StartResult start(CallResult result, boolean request) {
        return switch (result) {
            case CallResult.NotConnected n -> new StartResult.NotConnected(n.reason());
            case CallResult.Unknown u -> new StartResult.Unknown(u.reason());
            case CallResult.Reply reply -> {
                try {
                    yield startReply(reply, request);
                } catch (MalformedAnswerException e) {
                    yield new StartResult.Unknown(malformed(reply, e));
                }
            }
        };
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
        return switch (result) {
            case CallResult.NotConnected n -> new CommandResult.NotConnected(n.reason());
            case CallResult.Unknown u -> new CommandResult.Unknown(u.reason());
            case CallResult.Reply reply -> {
                try {
                    yield commandReply(reply);
                } catch (MalformedAnswerException e) {
                    yield new CommandResult.Unknown(malformed(reply, e));
                }
            }
        };
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
