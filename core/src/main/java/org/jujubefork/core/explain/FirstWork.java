package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.ShardState;

/**
 * The work of a team that waits longest in the shards of this entry.
 *
 * @param shard the shard in which it waits
 * @param work the work
 */
record FirstWork(ShardState shard, QueuedWork work) {
    static Optional<FirstWork> of(State state, TeamId team) {
        Optional<FirstWork> first = Optional.empty();
        for (ShardState shard : state.shards().values()) {
            for (var lane : shard.queue().lanes().entrySet()) {
                QueuedWork head = lane.getValue().firstEntry().getValue();
                boolean older =
                        first.isEmpty()
                                || head.waitingSinceMillis()
                                        < first.get().work().waitingSinceMillis();
                if (lane.getKey().team().equals(team) && older) {
                    first = Optional.of(new FirstWork(shard, head));
                }
            }
        }
        return first;
    }
}
