package org.jujubefork.core.placement;

import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.RequestId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The work that waits in a shard, first in first out within each lane of a team.
 *
 * @param lanes work by lane and team, in order of arrival
 * @param requests where each waiting request stands
 * @param deadlines waiting requests by deadline
 * @param nextSequence the number of the next arrival
 * @param size how many items wait
 */
public record WorkQueue(
        PSortedMap<LaneKey, PSortedMap<Long, QueuedWork>> lanes,
        PSortedMap<RequestId, Position> requests,
        PSortedSet<Deadline> deadlines,
        long nextSequence,
        int size) {
    /** Nothing waits. */
    public static final WorkQueue EMPTY =
            new WorkQueue(TreePMap.empty(), TreePMap.empty(), TreePSet.empty(), 0, 0);

    /**
     * The place of an item.
     *
     * @param lane its lane
     * @param sequence its number of arrival
     */
    public record Position(LaneKey lane, long sequence) {}

    /**
     * The deadline of a waiting request.
     *
     * @param atMillis when it is too late to start it
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
        LaneKey key = new LaneKey(work.lane(), work.team());
        PSortedMap<Long, QueuedWork> lane = lane(key).plus(nextSequence, work);
        WorkQueue added =
                new WorkQueue(
                        lanes.plus(key, lane), requests, deadlines, nextSequence + 1, size + 1);
        return work instanceof QueuedWork.Request request
                ? added.withRequest(request, new Position(key, nextSequence))
                : added;
    }

    /** Returns this queue without the item at {@code position}. */
    public WorkQueue minus(Position position) {
        PSortedMap<Long, QueuedWork> lane = lane(position.lane());
        QueuedWork work = lane.get(position.sequence());
        if (work == null) {
            return this;
        }
        PSortedMap<Long, QueuedWork> rest = lane.minus(position.sequence());
        PSortedMap<LaneKey, PSortedMap<Long, QueuedWork>> remaining =
                rest.isEmpty() ? lanes.minus(position.lane()) : lanes.plus(position.lane(), rest);
        WorkQueue removed = new WorkQueue(remaining, requests, deadlines, nextSequence, size - 1);
        return work instanceof QueuedWork.Request request
                ? removed.withoutRequest(request)
                : removed;
    }

    /** Returns the work of {@code key} in order of arrival. */
    public PSortedMap<Long, QueuedWork> lane(LaneKey key) {
        PSortedMap<Long, QueuedWork> lane = lanes.get(key);
        return lane == null ? TreePMap.empty() : lane;
    }

    /** Returns the oldest work of {@code key}. */
    public Optional<Map.Entry<Long, QueuedWork>> head(LaneKey key) {
        return Optional.ofNullable(lane(key).firstEntry());
    }

    /** Returns the waiting request {@code request}. */
    public Optional<QueuedWork.Request> request(RequestId request) {
        Position position = requests.get(request);
        return position == null
                ? Optional.empty()
                : Optional.of((QueuedWork.Request) lane(position.lane()).get(position.sequence()));
    }

    /** Returns how many requests wait. */
    public int requestCount() {
        return requests.size();
    }

    private WorkQueue withRequest(QueuedWork.Request request, Position position) {
        RequestId id = request.origin().request();
        return new WorkQueue(
                lanes,
                requests.plus(id, position),
                deadlines.plus(new Deadline(request.deadlineMillis(), id)),
                nextSequence,
                size);
    }

    private WorkQueue withoutRequest(QueuedWork.Request request) {
        RequestId id = request.origin().request();
        return new WorkQueue(
                lanes,
                requests.minus(id),
                deadlines.minus(new Deadline(request.deadlineMillis(), id)),
                nextSequence,
                size);
    }
}
