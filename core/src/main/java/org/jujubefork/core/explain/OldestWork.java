package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.ShardState;

/**
 * The queued request, task or gang of a team that has waited longest in the shards of this entry.
 *
 * @param shard the shard in whose queue the work waits
 * @param work the queued request, task or gang
 */
record OldestWork(ShardState shard, QueuedWork work) {
    static Optional<OldestWork> find(State state, TeamId team) {
        Optional<OldestWork> oldest = Optional.empty();
        for (ShardState shard : state.shards().values()) {
            for (var keyAndLane : shard.queue().lanes().entrySet()) {
                QueuedWork head = keyAndLane.getValue().firstEntry().getValue();
                boolean isOlder =
                        oldest.isEmpty()
                                || head.waitingSinceMillis()
                                        < oldest.get().work().waitingSinceMillis();
                if (keyAndLane.getKey().team().equals(team) && isOlder) {
                    oldest = Optional.of(new OldestWork(shard, head));
                }
            }
        }
        return oldest;
    }
}
