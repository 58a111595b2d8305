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
 * The work that waits in a shard, first in first out within each lane of a team.
 *
 * @param lanes work by lane and team, in order of arrival
 * @param ready lanes whose head has not been tried since it became the head
 * @param requests where each waiting request stands
 * @param deadlines waiting requests by deadline
 * @param queued how many items wait by queue
 * @param requestDemand declared sizes of waiting requests by team
 * @param nextSequence the number of the next arrival or start
 * @param size how many items wait
 */
public record WorkQueue(
        PSortedMap<LaneKey, PSortedMap<Long, QueuedWork>> lanes,
        PSortedSet<LaneKey> ready,
        PSortedMap<RequestId, Position> requests,
        PSortedSet<Deadline> deadlines,
        PSortedMap<QueueId, Integer> queued,
        PSortedMap<TeamId, Resources> requestDemand,
        long nextSequence,
        int size) {
    /** Nothing waits. */
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
        return insert(work, nextSequence);
    }

    /** Returns this queue with {@code work} ahead of all others in its lane. */
    public WorkQueue plusFirst(QueuedWork work) {
        PSortedMap<Long, QueuedWork> lane = lane(new LaneKey(work.lane(), work.team()));
        return insert(work, lane.isEmpty() ? nextSequence : lane.firstKey() - 1);
    }

    /** Returns this queue without the item at {@code position}. */
    public WorkQueue minus(Position position) {
        LaneKey key = position.lane();
        PSortedMap<Long, QueuedWork> lane = lane(key);
        QueuedWork work = lane.get(position.sequence());
        if (work == null) {
            return this;
        }
        PSortedMap<Long, QueuedWork> rest = lane.minus(position.sequence());
        boolean wasHead = lane.firstKey() == position.sequence();
        int left = queued.getOrDefault(work.queue(), 0) - 1;
        WorkQueue removed =
                new WorkQueue(
                        rest.isEmpty() ? lanes.minus(key) : lanes.plus(key, rest),
                        readyAfterRemoval(key, wasHead, rest.isEmpty()),
                        requests,
                        deadlines,
                        left <= 0 ? queued.minus(work.queue()) : queued.plus(work.queue(), left),
                        requestDemand,
                        nextSequence,
                        size - 1);
        return work instanceof QueuedWork.Request request
                ? removed.withoutRequest(request)
                : removed;
    }

    private PSortedSet<LaneKey> readyAfterRemoval(LaneKey key, boolean wasHead, boolean empty) {
        if (empty) {
            return ready.minus(key);
        }
        return wasHead ? ready.plus(key) : ready;
    }

    /** Returns this queue after the head of {@code key} was tried and did not fit. */
    WorkQueue tried(LaneKey key) {
        return ready.contains(key)
                ? new WorkQueue(
                        lanes,
                        ready.minus(key),
                        requests,
                        deadlines,
                        queued,
                        requestDemand,
                        nextSequence,
                        size)
                : this;
    }

    /** Returns this queue after the number {@link #nextSequence} was given to a start. */
    WorkQueue withNextSequence() {
        return new WorkQueue(
                lanes, ready, requests, deadlines, queued, requestDemand, nextSequence + 1, size);
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

    /** Returns the item at {@code position}. */
    public Optional<QueuedWork> at(Position position) {
        return Optional.ofNullable(lane(position.lane()).get(position.sequence()));
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

    /** Returns how many items of {@code queue} wait. */
    public int queuedIn(QueueId queue) {
        return queued.getOrDefault(queue, 0);
    }

    private WorkQueue insert(QueuedWork work, long sequence) {
        LaneKey key = new LaneKey(work.lane(), work.team());
        PSortedMap<Long, QueuedWork> lane = lane(key);
        boolean head = lane.isEmpty() || sequence < lane.firstKey();
        WorkQueue added =
                new WorkQueue(
                        lanes.plus(key, lane.plus(sequence, work)),
                        head ? ready.plus(key) : ready,
                        requests,
                        deadlines,
                        queued.plus(work.queue(), queuedIn(work.queue()) + 1),
                        requestDemand,
                        nextSequence + 1,
                        size + 1);
        return work instanceof QueuedWork.Request request
                ? added.withRequest(request, new Position(key, sequence))
                : added;
    }

    private WorkQueue withRequest(QueuedWork.Request request, Position position) {
        RequestId id = request.origin().request();
        return new WorkQueue(
                lanes,
                ready,
                requests.plus(id, position),
                deadlines.plus(new Deadline(request.deadlineMillis(), id)),
                queued,
                requestDemand.plus(request.team(), demandOf(request.team()).plus(request.size())),
                nextSequence,
                size);
    }

    private WorkQueue withoutRequest(QueuedWork.Request request) {
        RequestId id = request.origin().request();
        Resources left = demandOf(request.team()).minus(request.size());
        return new WorkQueue(
                lanes,
                ready,
                requests.minus(id),
                deadlines.minus(new Deadline(request.deadlineMillis(), id)),
                queued,
                left.isZero()
                        ? requestDemand.minus(request.team())
                        : requestDemand.plus(request.team(), left),
                nextSequence,
                size);
    }

    private Resources demandOf(TeamId team) {
        return requestDemand.getOrDefault(team, Resources.ZERO);
    }
}
