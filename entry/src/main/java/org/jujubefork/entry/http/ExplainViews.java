package org.jujubefork.entry.http;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jujubefork.client.api.ExplainView;
import org.jujubefork.client.api.RejectedView;
import org.jujubefork.core.control.State;
import org.jujubefork.core.explain.Explanations;
import org.jujubefork.core.explain.JobExplanation;
import org.jujubefork.core.explain.JobExplanations;
import org.jujubefork.core.explain.JobPartExplanation;
import org.jujubefork.core.explain.LimitUsage;
import org.jujubefork.core.explain.RejectionCounts;
import org.jujubefork.core.explain.RequestExplanation;
import org.jujubefork.core.explain.TeamExplanation;
import org.jujubefork.core.explain.Wait;
import org.jujubefork.core.explain.WorkerExplanation;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkerId;

/** Converts explanations of requests, jobs, teams and workers to their view in the API. */
final class ExplainViews {
    private ExplainViews() {}

    /**
     * Returns the explanation of the request, job, team or worker {@code id}; empty if it is
     * unknown to this entry.
     *
     * @throws IllegalArgumentException if {@code subject} is none of these, or {@code id} is not a
     *     valid identifier
     */
    static Optional<ExplainView> of(State state, String subject, String id) {
        return switch (subject) {
            case "request" ->
                    Explanations.request(state, RequestId.of(id)).map(e -> request(state, e));
            case "job" -> JobExplanations.of(state, JobId.of(id)).map(e -> job(state, e));
            case "team" -> Explanations.team(state, TeamId.of(id)).map(e -> team(state, e));
            case "worker" -> Explanations.worker(state, WorkerId.of(id)).map(e -> worker(state, e));
            default ->
                    throw new IllegalArgumentException(
                            "subject must be request, job, team or worker: " + subject);
        };
    }

    private static ExplainView request(State state, RequestExplanation request) {
        List<String> reasons = new ArrayList<>(describeAll(state, request.waits()));
        request.shard().ifPresent(s -> reasons.add("shard " + s));
        request.worker().ifPresent(w -> reasons.add("worker " + w));
        request.owner().ifPresent(o -> reasons.add("owner " + o));
        return new ExplainView(
                "request " + request.request(),
                displayName(request.stage()),
                wallClockMillis(state, request.sinceMillis()),
                reasons,
                request.rejections().map(ExplainViews::rejectedViews).orElse(List.of()),
                remedies(request.waits()));
    }

    private static ExplainView job(State state, JobExplanation job) {
        List<String> reasons = new ArrayList<>();
        List<Wait> waits = new ArrayList<>();
        List<RejectedView> rejectedWorkers = new ArrayList<>();
        if (!job.record().reason().isEmpty()) {
            reasons.add(job.record().reason());
        }
        for (JobPartExplanation part : job.parts()) {
            reasons.add(
                    "shard %s: %d of %d tasks run, %d wait"
                            .formatted(part.shard(), part.running(), part.tasks(), part.queued()));
            describeAll(state, part.waits())
                    .forEach(t -> reasons.add("shard " + part.shard() + ": " + t));
            waits.addAll(part.waits());
            part.rejections().ifPresent(r -> rejectedWorkers.addAll(rejectedViews(r)));
        }
        return new ExplainView(
                "job " + job.record().id(),
                displayName(job.record().state()),
                job.record().submittedAtEpochMillis(),
                reasons,
                rejectedWorkers,
                remedies(waits));
    }

    private static ExplainView team(State state, TeamExplanation team) {
        List<String> reasons = new ArrayList<>();
        reasons.add(
                String.format(
                        Locale.ROOT,
                        "uses %.3f of the fleet, entitled to %.3f",
                        team.dominantShare(),
                        team.entitledShare()));
        reasons.add("running " + team.usage() + " of limit " + team.limit());
        reasons.add(team.queued() + " requests and tasks wait");
        describeAll(state, team.waits()).forEach(t -> reasons.add("the first work waits: " + t));
        return new ExplainView(
                "team " + team.team(),
                team.queued() > 0 ? "waiting" : "served",
                team.waitingSinceMillis().map(m -> wallClockMillis(state, m)).orElse(0L),
                reasons,
                List.of(),
                remedies(team.waits()));
    }

    private static ExplainView worker(State state, WorkerExplanation worker) {
        List<String> reasons = new ArrayList<>();
        reasons.add("shard " + worker.shard());
        worker.owner().ifPresent(o -> reasons.add("owner " + o));
        reasons.add(
                worker.tasks() + " tasks take " + worker.committed() + " of " + worker.capacity());
        return new ExplainView(
                "worker " + worker.worker(),
                displayName(worker.condition()),
                worker.leaseSentMillis().map(m -> wallClockMillis(state, m)).orElse(0L),
                reasons,
                List.of(),
                "");
    }

    private static List<String> describeAll(State state, Collection<Wait> waits) {
        return waits.stream().map(w -> describe(state, w)).toList();
    }

    private static String describe(State state, Wait wait) {
        String reason = displayName(wait.reason());
        if (wait.limitUsage().isPresent()) {
            return reason + ": " + describe(state, wait.limitUsage().get());
        }
        return wait.required() == 0
                ? reason
                : reason + " (" + wait.available() + " of " + wait.required() + ")";
    }

    private static String describe(State state, LimitUsage limit) {
        String figures =
                "the limit is %s, the team uses %s, its budget in shard %s is %s with %s in use"
                        .formatted(
                                limit.limit(),
                                limit.usage(),
                                limit.shard(),
                                limit.shardBudget(),
                                limit.shardUsage());
        return limit.waitingSinceMillis()
                .map(m -> figures + ", waiting since " + toInstant(state, m))
                .orElse(figures);
    }

    private static Instant toInstant(State state, long monotonicMillis) {
        return Instant.ofEpochMilli(wallClockMillis(state, monotonicMillis));
    }

    private static String remedies(Collection<Wait> waits) {
        return waits.stream()
                .map(w -> w.reason().remedy())
                .distinct()
                .collect(Collectors.joining("; "));
    }

    private static List<RejectedView> rejectedViews(RejectionCounts rejections) {
        List<RejectedView> views = new ArrayList<>();
        addIfPositive(views, "unreachable", rejections.unreachable());
        addIfPositive(views, "leaving", rejections.leaving());
        addIfPositive(views, "quarantined", rejections.quarantined());
        addIfPositive(views, "too small", rejections.tooSmall());
        addIfPositive(views, "no free request slot", rejections.withoutFreeSlot());
        addIfPositive(views, "not enough free", rejections.withoutFreeCapacity());
        return views;
    }

    private static void addIfPositive(List<RejectedView> views, String reason, int count) {
        if (count > 0) {
            views.add(new RejectedView(reason, count));
        }
    }

    private static String displayName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Converts a time of this entry's monotonic clock to Unix time (milliseconds since 1970). */
    private static long wallClockMillis(State state, long monotonicMillis) {
        return System.currentTimeMillis() - (state.nowMillis() - monotonicMillis);
    }
}
