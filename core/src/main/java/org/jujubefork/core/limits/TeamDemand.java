package org.jujubefork.core.limits;

import java.util.Iterator;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.Lane;
import org.jujubefork.core.placement.LaneKey;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.ShardState;
import org.pcollections.PSortedMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The waiting work of a team in a shard.
 *
 * @param waiting the total declared size, estimated from the oldest work of each lane and bounded
 *     by the free capacity of the shard
 * @param headSizes for each lane that is not empty, the size of its oldest work
 */
record TeamDemand(Resources waiting, PVector<Resources> headSizes) {
    /** Number of work items sampled per lane; bounds the cost for long queues. */
    private static final int MAX_SAMPLES_PER_LANE = 16;

    /** Returns the demand of {@code team} in {@code shard}, bounded by {@code freeCapacity}. */
    static TeamDemand of(ShardState shard, TeamId team, Resources freeCapacity) {
        Resources sum = Resources.ZERO;
        PVector<Resources> headSizes = TreePVector.empty();
        for (Lane lane : Lane.values()) {
            PSortedMap<Long, QueuedWork> work = shard.queue().lane(new LaneKey(lane, team));
            if (work.isEmpty()) {
                continue;
            }
            Resources sampled = Resources.ZERO;
            int sampleCount = 0;
            Iterator<QueuedWork> oldest = work.values().iterator();
            while (oldest.hasNext() && sampleCount < MAX_SAMPLES_PER_LANE) {
                Resources size = sizeOf(oldest.next());
                headSizes = sampleCount == 0 ? headSizes.plus(size) : headSizes;
                sampled = sampled.plus(size);
                sampleCount++;
            }
            sum = sum.plus(sampled.scaled((double) work.size() / sampleCount));
        }
        return new TeamDemand(sum.min(freeCapacity), headSizes);
    }

    /** Returns whether the oldest work of at least one lane fits in {@code available}. */
    boolean anyHeadFits(Resources available) {
        return headSizes.stream().anyMatch(h -> h.fitsIn(available));
    }

    /** Returns the component-wise maximum of {@link #headSizes()}; zero if no work is waiting. */
    Resources largestHeadSize() {
        return headSizes.stream().reduce(Resources.ZERO, Resources::max);
    }

    private static Resources sizeOf(QueuedWork work) {
        return work instanceof QueuedWork.Gang gang ? gang.size().times(gang.tasks()) : work.size();
    }
}
