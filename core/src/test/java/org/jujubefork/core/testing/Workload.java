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

/** Adds random requests and tasks to the shards of a {@link Cluster}. */
public final class Workload {
    private static final int MAX_QUEUED = 6;

    private final Cluster cluster;
    private final double serviceFraction;
    private int nextId;

    /**
     * Creates a workload in which the fraction {@code fractionOfServices} of the work, from 0 to
     * 0.5, is services.
     */
    public Workload(Cluster cluster, double fractionOfServices) {
        this.cluster = cluster;
        this.serviceFraction = fractionOfServices;
    }

    /** Adds a request or task of a random team to each owned shard whose queue is short enough. */
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

    /** Adds a task of a new job to the queue of a shard that {@code node} owns. */
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

    /**
     * Returns a running entry that considers itself the owner of {@code shard}; empty if there is
     * no such entry.
     */
    public static Optional<Node> owner(Cluster cluster, String shard) {
        return cluster.nodes().stream()
                .filter(n -> n.isAlive() && n.state().shards().containsKey(ShardId.of(shard)))
                .findFirst();
    }
}
