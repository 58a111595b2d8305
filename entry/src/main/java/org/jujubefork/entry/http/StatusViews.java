package org.jujubefork.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.jujubefork.client.api.MemberView;
import org.jujubefork.client.api.QueueView;
import org.jujubefork.client.api.ResourcesView;
import org.jujubefork.client.api.ShardView;
import org.jujubefork.client.api.StatusView;
import org.jujubefork.client.api.StoreView;
import org.jujubefork.client.api.TaskView;
import org.jujubefork.client.api.TasksView;
import org.jujubefork.client.api.TeamView;
import org.jujubefork.client.api.WorkerView;
import org.jujubefork.client.api.WorkersView;
import org.jujubefork.core.control.State;
import org.jujubefork.core.explain.FleetStatus;
import org.jujubefork.core.explain.FleetStatuses;
import org.jujubefork.core.explain.TeamExplanation;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerHealth;
import org.jujubefork.core.placement.WorkerPhase;
import org.jujubefork.core.placement.WorkerState;

/** Converts the control state of one entry to the status, worker and task views of the API. */
final class StatusViews {
    private StatusViews() {}

    static StatusView status(State state) {
        FleetStatus status = FleetStatuses.of(state);
        List<MemberView> members = new ArrayList<>();
        members.add(self(state, status));
        state.membership().members().values().forEach(m -> members.add(member(status, m)));
        return new StatusView(
                status.entry().name(),
                role(state, status),
                status.configurationVersion(),
                status.configurationFresh(),
                new StoreView(status.storeReachable(), storeContactAgeMillis(state)),
                members,
                status.shards().stream().map(s -> shard(state, s)).toList(),
                queues(state),
                status.teams().stream().map(StatusViews::team).toList());
    }

    /** Returns the time since the last contact with the store, -1 if there was none. */
    private static long storeContactAgeMillis(State state) {
        long contactMillis = state.membership().storeContactMillis();
        // The time of the last contact is initialized to a value far before the start.
        return contactMillis < state.membership().startedAtMillis()
                ? -1
                : Math.max(0, state.nowMillis() - contactMillis);
    }

    private static String role(State state, FleetStatus status) {
        if (status.draining()) {
            return "draining";
        }
        return state.shards().isEmpty() ? "front end" : "owner of " + state.shards().keySet();
    }

    private static MemberView self(State state, FleetStatus status) {
        return new MemberView(
                status.entry().name(),
                state.self().location().region(),
                state.self().location().zone(),
                status.draining() ? "leaving" : "alive",
                status.configurationVersion());
    }

    private static MemberView member(FleetStatus status, Member member) {
        String condition =
                status.members().stream()
                        .filter(m -> m.id().equals(member.row().id()))
                        .findFirst()
                        .map(m -> m.alive() ? m.leaving() ? "leaving" : "alive" : "dead")
                        .orElse("unknown");
        return new MemberView(
                member.row().id().name(),
                member.row().location().region(),
                member.row().location().zone(),
                condition,
                member.row().configurationVersion());
    }

    private static ShardView shard(State state, FleetStatus.ShardStatus status) {
        ShardState owned = state.shards().get(status.shard());
        return new ShardView(
                status.shard().value(),
                status.owner().map(EntryId::name).orElse(""),
                status.epoch().map(Object::toString).orElse(""),
                status.listedWorkers(),
                status.usableWorkers(),
                status.queued(),
                owned == null ? 0 : owned.tasks().size());
    }

    private static List<QueueView> queues(State state) {
        Map<QueueId, List<QueuedWork>> waiting = new TreeMap<>();
        for (ShardState shard : state.shards().values()) {
            shard.queue().lanes().values().stream()
                    .flatMap(lane -> lane.values().stream())
                    .forEach(
                            w -> waiting.computeIfAbsent(w.queue(), q -> new ArrayList<>()).add(w));
        }
        return waiting.values().stream().map(list -> queue(state, list)).toList();
    }

    private static QueueView queue(State state, List<QueuedWork> waiting) {
        QueuedWork first = waiting.getFirst();
        long oldestMillis =
                waiting.stream().mapToLong(QueuedWork::waitingSinceMillis).min().orElseThrow();
        return new QueueView(
                first.queue().value(),
                first.team().value(),
                lowerCaseName(first.kind()),
                waiting.size(),
                state.nowMillis() - oldestMillis);
    }

    private static TeamView team(TeamExplanation team) {
        return new TeamView(
                team.team().value(),
                ResourcesView.of(team.usage()),
                team.dominantShare(),
                team.entitledShare(),
                ResourcesView.of(team.limit()),
                team.queued());
    }

    static WorkersView workers(State state) {
        List<WorkerView> workers = new ArrayList<>();
        for (ShardState shard : state.shards().values()) {
            for (WorkerState worker : shard.workers().values()) {
                workers.add(worker(state, shard, worker));
            }
        }
        return new WorkersView(workers, List.of());
    }

    private static WorkerView worker(State state, ShardState shard, WorkerState worker) {
        return new WorkerView(
                worker.id().value(),
                worker.listing().location().zone(),
                worker.listing().location().rack(),
                worker.listing().address(),
                shard.id().value(),
                condition(worker),
                unavailabilityReason(worker, state.nowMillis()),
                ResourcesView.of(worker.capacity()),
                ResourcesView.of(worker.committed()),
                worker.slots(),
                worker.usedSlots(),
                worker.tasks().size(),
                state.nowMillis() - worker.grantedRequestSentAtMillis());
    }

    /** Returns the phase, or quarantined for an active worker in quarantine. */
    static String condition(WorkerState worker) {
        return worker.phase() == WorkerPhase.ACTIVE && worker.quarantined()
                ? "quarantined"
                : worker.phase().name().toLowerCase(Locale.ROOT);
    }

    /** Returns why {@code worker} accepts no work; empty if it is healthy and not leaving. */
    static String unavailabilityReason(WorkerState worker, long nowMillis) {
        if (worker.leaving()) {
            return "leaving";
        }
        WorkerHealth health = worker.health();
        long remainingMillis = Math.max(0, health.untilMillis() - nowMillis);
        return switch (health.phase()) {
            case HEALTHY -> "";
            case PAUSED -> "paused after a failed task, accepts work in " + remainingMillis + " ms";
            case QUARANTINED ->
                    describeFailures(health) + ", next probe in " + remainingMillis + " ms";
            case PROBE_DUE -> describeFailures(health) + ", the next task is the probe";
            case PROBING -> describeFailures(health) + ", a probe runs";
        };
    }

    private static String describeFailures(WorkerHealth health) {
        int failed = health.failures().size();
        String lastFailure =
                health.failures().isEmpty()
                        ? ""
                        : ", the last one of " + health.failures().getLast().subject();
        return failed + " failed tasks" + lastFailure;
    }

    static TasksView tasks(State state) {
        List<TaskView> tasks = new ArrayList<>();
        for (ShardState shard : state.shards().values()) {
            for (RunningTask task : shard.tasks().values()) {
                tasks.add(task(state, shard, task));
            }
        }
        return new TasksView(tasks, List.of());
    }

    private static TaskView task(State state, ShardState shard, RunningTask task) {
        return new TaskView(
                task.spec().id().value(),
                task.spec().jobTask().map(j -> j.job().value()).orElse(""),
                task.spec().jobTask().map(JobTask::index).orElse(0),
                task.spec().jobTask().map(JobTask::attempt).orElse(1),
                task.spec().team().value(),
                task.spec().queue().value(),
                lowerCaseName(task.spec().kind()),
                task.phase().name().toLowerCase(Locale.ROOT),
                task.worker().value(),
                shard.id().value(),
                ResourcesView.of(task.spec().size()),
                state.nowMillis() - task.placedAtMillis());
    }

    private static String lowerCaseName(WorkKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
