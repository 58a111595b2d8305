package org.jujubefork.core.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.requests.ForwardedRequest;

/** Puts random work into the shards of a {@link Cluster}. */
public final class Workload {
    private static final int MAX_QUEUED = 6;

    private final Cluster cluster;
    private final double serviceFraction;
    private int nextId;

    /** Creates a workload in which the given part of the work is services. */
    public Workload(Cluster cluster, double services) {
        this.cluster = cluster;
        this.serviceFraction = services;
    }

    /** Adds work of a random team to each shard of each running entry. */
    public void addWork() {
        List<TeamId> teams = new ArrayList<>(cluster.store().configuration().teams().keySet());
        teams.sort(null);
        for (Node node : cluster.nodes()) {
            if (!node.isRunning(cluster.nowMillis())) {
                continue;
            }
            for (ShardId shard : node.state().shards().keySet()) {
                addWorkTo(node, shard, teams.get(cluster.random().nextInt(teams.size())));
            }
        }
    }

    private void addWorkTo(Node node, ShardId id, TeamId team) {
        ShardState shard = node.state().shards().get(id);
        if (shard.queue().size() >= MAX_QUEUED) {
            return;
        }
        double choice = cluster.random().nextDouble();
        if (choice < 0.5) {
            forwardRequest(node, id, team);
        } else {
            enqueueTask(
                    node,
                    id,
                    team,
                    choice < 0.5 + serviceFraction ? WorkKind.SERVICE : WorkKind.BATCH);
        }
    }

    /** Adds a task of a job to the queue of an owned shard. */
    public void enqueueTask(Node node, ShardId id, TeamId team, WorkKind kind) {
        ShardState shard = node.state().shards().get(id);
        QueuedWork.Task task =
                new QueuedWork.Task(
                        JobId.of("job" + nextId++),
                        0,
                        1,
                        team,
                        QueueId.of(team.value()),
                        kind,
                        Fixtures.TASK_SIZE,
                        "",
                        cluster.nowMillis());
        node.setState(node.state().withShard(shard.withQueue(shard.queue().plus(task))));
    }

    private void forwardRequest(Node node, ShardId id, TeamId team) {
        RequestId request = RequestId.of("request" + nextId++);
        ForwardedRequest forwarded =
                new ForwardedRequest(
                        id,
                        QueueId.of(team.value()),
                        team,
                        WorkKind.LOOKUP,
                        Fixtures.TASK_SIZE,
                        false,
                        5_000);
        node.deliver(
                at ->
                        new RequestEvent.RequestForwarded(
                                at, request, EntryId.of("front", 1), forwarded));
    }

    /** Returns the entry that owns {@code shard}, if one that is alive says so. */
    public static Optional<Node> owner(Cluster cluster, String shard) {
        return cluster.nodes().stream()
                .filter(n -> n.isAlive() && n.state().shards().containsKey(ShardId.of(shard)))
                .findFirst();
    }
}
