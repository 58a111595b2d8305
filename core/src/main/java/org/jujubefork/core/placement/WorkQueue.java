package org.jujubefork.core.placement;

import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The queued work of a shard, first in first out within each lane of a team.
 *
 * @param lanes queued work by lane, keyed by sequence number
 * @param untriedLanes lanes whose head has not been tried since it became the head
 * @param requestPositions positions of queued requests
 * @param deadlines queued requests, ordered by deadline
 * @param countByQueue number of queued items by queue
 * @param requestDemand declared sizes of queued requests, summed by team
 * @param nextSequence the sequence number of the next queued item or start command
 * @param size the number of queued items
 */
public record WorkQueue(
        PSortedMap<LaneKey, PSortedMap<Long, QueuedWork>> lanes,
        PSortedSet<LaneKey> untriedLanes,
        PSortedMap<RequestId, Position> requestPositions,
        PSortedSet<Deadline> deadlines,
        PSortedMap<QueueId, Integer> countByQueue,
        PSortedMap<TeamId, Resources> requestDemand,
        long nextSequence,
        int size) {
    /** The initial queue of a shard, without work. */
    public static final WorkQueue EMPTY =
            new WorkQueue(
                    TreePMap.empty(),
                    TreePSet.empty(),
                    TreePMap.empty(),
                    TreePSet.empty(),
                    TreePMap.empty(),
                    TreePMap.empty(),
                    0,
                    0);

    /**
     * The position of an item.
     *
     * @param lane its lane
     * @param sequence its sequence number within the shard
     */
    public record Position(LaneKey lane, long sequence) {}

    /**
     * The deadline of a queued request.
     *
     * @param atMillis the time from which it must no longer be started
     * @param request the request
     */
    public record Deadline(long atMillis, RequestId request) implements Comparable<Deadline> {
        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : request.compareTo(other.request);
        }
    }

    /** Returns this queue with {@code work} at the end of its lane. */
    public WorkQueue plus(QueuedWork work) {
        return insert(work, nextSequence);
    }

    /** Returns this queue with {@code work} at the head of its lane. */
    public WorkQueue plusAtHead(QueuedWork work) {
        PSortedMap<Long, QueuedWork> lane = lane(new LaneKey(work.lane(), work.team()));
        return insert(work, lane.isEmpty() ? nextSequence : lane.firstKey() - 1);
    }

    /** Returns this queue without the item at {@code position}, if there is one. */
    public WorkQueue minus(Position position) {
        LaneKey key = position.lane();
        PSortedMap<Long, QueuedWork> lane = lane(key);
        QueuedWork work = lane.get(position.sequence());
        if (work == null) {
            return this;
        }
        PSortedMap<Long, QueuedWork> remaining = lane.minus(position.sequence());
        boolean wasHead = lane.firstKey() == position.sequence();
        int remainingCount = countByQueue.getOrDefault(work.queue(), 0) - 1;
        WorkQueue withoutWork =
                new WorkQueue(
                        remaining.isEmpty() ? lanes.minus(key) : lanes.plus(key, remaining),
                        untriedLanesAfterRemoval(key, wasHead, remaining.isEmpty()),
                        requestPositions,
                        deadlines,
                        remainingCount <= 0
                                ? countByQueue.minus(work.queue())
                                : countByQueue.plus(work.queue(), remainingCount),
                        requestDemand,
                        nextSequence,
                        size - 1);
        return work instanceof QueuedWork.Request request
                ? withoutWork.withoutRequest(request)
                : withoutWork;
    }

    private PSortedSet<LaneKey> untriedLanesAfterRemoval(
            LaneKey key, boolean wasHead, boolean isLaneEmpty) {
        if (isLaneEmpty) {
            return untriedLanes.minus(key);
        }
        return wasHead ? untriedLanes.plus(key) : untriedLanes;
    }

    /** Returns this queue after the head of {@code key} was tried and did not fit. */
    WorkQueue withHeadTried(LaneKey key) {
        return untriedLanes.contains(key)
                ? new WorkQueue(
                        lanes,
                        untriedLanes.minus(key),
                        requestPositions,
                        deadlines,
                        countByQueue,
                        requestDemand,
                        nextSequence,
                        size)
                : this;
    }

    /**
     * Returns this queue after the sequence number {@link #nextSequence} was used for a start
     * command.
     */
    WorkQueue withNextSequence() {
        return new WorkQueue(
                lanes,
                untriedLanes,
                requestPositions,
                deadlines,
                countByQueue,
                requestDemand,
                nextSequence + 1,
                size);
    }

    /** Returns the work of {@code key}, ordered by sequence number; empty if there is none. */
    public PSortedMap<Long, QueuedWork> lane(LaneKey key) {
        PSortedMap<Long, QueuedWork> lane = lanes.get(key);
        return lane == null ? TreePMap.empty() : lane;
    }

    /** Returns the head of {@code key} with its sequence number; empty if the lane has no work. */
    public Optional<Map.Entry<Long, QueuedWork>> head(LaneKey key) {
        return Optional.ofNullable(lane(key).firstEntry());
    }

    /** Returns the item at {@code position}; empty if it is no longer queued. */
    public Optional<QueuedWork> at(Position position) {
        return Optional.ofNullable(lane(position.lane()).get(position.sequence()));
    }

    /** Returns the queued request {@code request}; empty if it is not queued. */
    public Optional<QueuedWork.Request> request(RequestId request) {
        Position position = requestPositions.get(request);
        return position == null
                ? Optional.empty()
                : Optional.of((QueuedWork.Request) lane(position.lane()).get(position.sequence()));
    }

    /** Returns the number of queued requests. */
    public int requestCount() {
        return requestPositions.size();
    }

    /** Returns the number of queued items of {@code queue}. */
    public int queuedCount(QueueId queue) {
        return countByQueue.getOrDefault(queue, 0);
    }

    private WorkQueue insert(QueuedWork work, long sequence) {
        LaneKey key = new LaneKey(work.lane(), work.team());
        PSortedMap<Long, QueuedWork> lane = lane(key);
        boolean becomesHead = lane.isEmpty() || sequence < lane.firstKey();
        WorkQueue withWork =
                new WorkQueue(
                        lanes.plus(key, lane.plus(sequence, work)),
                        becomesHead ? untriedLanes.plus(key) : untriedLanes,
                        requestPositions,
                        deadlines,
                        countByQueue.plus(work.queue(), queuedCount(work.queue()) + 1),
                        requestDemand,
                        nextSequence + 1,
                        size + 1);
        return work instanceof QueuedWork.Request request
                ? withWork.withRequest(request, new Position(key, sequence))
                : withWork;
    }

    private WorkQueue withRequest(QueuedWork.Request request, Position position) {
        RequestId id = request.origin().request();
        return new WorkQueue(
                lanes,
                untriedLanes,
                requestPositions.plus(id, position),
                deadlines.plus(new Deadline(request.deadlineMillis(), id)),
                countByQueue,
                requestDemand.plus(request.team(), demandOf(request.team()).plus(request.size())),
                nextSequence,
                size);
    }

    private WorkQueue withoutRequest(QueuedWork.Request request) {
        RequestId id = request.origin().request();
        Resources remainingDemand = demandOf(request.team()).minus(request.size());
        return new WorkQueue(
                lanes,
                untriedLanes,
                requestPositions.minus(id),
                deadlines.minus(new Deadline(request.deadlineMillis(), id)),
                countByQueue,
                remainingDemand.isZero()
                        ? requestDemand.minus(request.team())
                        : requestDemand.plus(request.team(), remainingDemand),
                nextSequence,
                size);
    }

    private Resources demandOf(TeamId team) {
        return requestDemand.getOrDefault(team, Resources.ZERO);
    }
}
