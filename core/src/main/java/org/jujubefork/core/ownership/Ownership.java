package org.jujubefork.core.ownership;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.Workers;
import org.jujubefork.core.requests.Attempts;
import org.pcollections.PSortedMap;

/**
 * Claims shards that have no live owner and gives up shards that another entry has claimed.
 *
 * <p>Safety does not depend on what is decided here: a worker refuses an owner with a lower epoch
 * than the one it keeps. Decisions here only have to let one entry win soon.
 */
public final class Ownership {
    /** How long a new entry listens to gossip before it claims shards. */
    static final long LISTEN_MILLIS = 4_000;

    /** How long a shard must be without a live owner before it is claimed. */
    static final long VACANT_MILLIS = 300;

    /**
     * How long a shard must be without a live owner if the last one is alive. It gave the shard up
     * for another owner, whose row may take four rounds of gossip to arrive.
     */
    static final long RELEASED_MILLIS = 5_000;

    /**
     * How much longer an entry waits for each live entry that ranks before it. The best candidate
     * may be waiting after a loss, or may know the shard as owned.
     */
    static final long RANK_MILLIS = 3_000;

    /** How long a shard must be held before earlier losses no longer lengthen the back-off. */
    static final long STABLE_MILLIS = 60_000;

    private Ownership() {}

    /** Claims or gives up shards as gossip and the VM list demand. */
    public static Transition tick(State state) {
        Transition result = Transition.of(state);
        for (ShardId shard : state.fleet().byShard().keySet()) {
            result = result.then(s -> review(s, shard));
        }
        for (ShardState shard : state.shards().values()) {
            if (!state.fleet().byShard().containsKey(shard.id())) {
                result = result.then(s -> reviewVanished(s, shard.id()));
            }
        }
        return result;
    }

    /** Gives up a shard once none of its workers can run anything any more. */
    private static Transition reviewVanished(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        return owned == null || !owned.workers().isEmpty()
                ? Transition.of(state)
                : giveUp(state, shard, owned.epoch(), "all its workers are gone");
    }

    private static Transition review(State state, ShardId shard) {
        Optional<Claim> other = highestOtherClaim(state, shard);
        ShardState owned = state.shards().get(shard);
        if (owned != null) {
            return other.isPresent() && other.get().epoch().isAbove(owned.epoch())
                    ? giveUp(state, shard, other.get().epoch(), "another entry has a higher epoch")
                    : Transition.of(noteHeld(state, owned));
        }
        ShardView view = state.ownership().view(shard);
        if (other.isPresent()) {
            view = view.seen(other.get().epoch().number());
            boolean offered =
                    other.get().handoverTo().equals(Optional.of(state.self().id().name()));
            if (!offered) {
                return Transition.of(
                        state.withOwnership(
                                state.ownership()
                                        .with(shard, view.ownedBy(other.get().epoch().holder()))));
            }
            return state.draining()
                    ? Transition.of(state)
                    : claim(
                            state.withOwnership(state.ownership().with(shard, view)),
                            shard,
                            "handed over");
        }
        view = view.vacant(state.nowMillis());
        State noted = state.withOwnership(state.ownership().with(shard, view));
        return mayClaim(noted, shard, view)
                ? claim(noted, shard, "no live owner")
                : Transition.of(noted);
    }

    private static State noteHeld(State state, ShardState owned) {
        ShardView view = state.ownership().view(owned.id());
        boolean stable = state.nowMillis() - owned.claimedAtMillis() >= STABLE_MILLIS;
        return stable && view.losses() > 0
                ? state.withOwnership(state.ownership().with(owned.id(), view.held()))
                : state;
    }

    private static long vacantMillis(State state, ShardView view) {
        boolean released =
                view.owner()
                        .flatMap(o -> state.membership().member(o))
                        .map(m -> Membership.isAlive(state, m))
                        .orElse(false);
        return released ? RELEASED_MILLIS : VACANT_MILLIS;
    }

    private static boolean mayClaim(State state, ShardId shard, ShardView view) {
        long now = state.nowMillis();
        return !state.draining()
                && state.configuration().isPresent()
                && now - state.membership().startedAtMillis() >= LISTEN_MILLIS
                && now >= view.backoffUntilMillis()
                && now - view.vacantSinceMillis()
                        >= vacantMillis(state, view) + Candidates.rank(state, shard) * RANK_MILLIS;
    }

    private static Transition claim(State state, ShardId shard, String reason) {
        long number = state.ownership().view(shard).highestNumber() + 1;
        return claimAt(state, shard, number, reason);
    }

    private static Transition claimAt(State state, ShardId shard, long number, String reason) {
        Epoch epoch = Epoch.of(number, state.self().id());
        ShardState claimed = ShardState.claimed(shard, epoch, state.nowMillis());
        OwnershipState ownership =
                state.ownership().with(shard, state.ownership().view(shard).seen(number).owned());
        Transition result =
                Transition.of(state.withOwnership(ownership).withShard(claimed))
                        .with(shardDecision(DecisionKind.SHARD_CLAIMED, shard, epoch, reason));
        for (WorkerListing listing : state.fleet().byShard().get(shard).values()) {
            result = result.then(s -> Workers.acquire(s, shard, listing));
        }
        return result;
    }

    /**
     * Reacts to a worker that keeps a higher epoch than the one under which this entry owns the
     * shard.
     *
     * <p>If the holder is alive, or is not known to be dead, this entry steps back. If the holder
     * is dead, this entry claims the shard again with a still higher epoch, but only if it has not
     * lost the shard before. In a network partition in which both sides reach some workers, each
     * side takes the other for dead; the back-off, which doubles with each loss, bounds how often
     * the shard changes hands.
     */
    public static Transition outranked(State state, ShardId shard, Epoch current) {
        ShardState owned = state.shards().get(shard);
        ShardView seen = state.ownership().view(shard).seen(current.number());
        State noted = state.withOwnership(state.ownership().with(shard, seen));
        if (owned == null || !current.isAbove(owned.epoch())) {
            return Transition.of(noted);
        }
        boolean first = noted.ownership().view(shard).losses() == 0;
        boolean mayHold = !noted.draining() && noted.fleet().byShard().containsKey(shard);
        if (mayHold && (isSelfEarlier(noted, current) || (first && isKnownDead(noted, current)))) {
            return giveUp(noted, shard, current, "outranked by an entry that is gone")
                    .then(s -> claimAt(s, shard, current.number() + 1, "holder is gone"));
        }
        return giveUp(noted, shard, current, "outranked at a worker");
    }

    private static boolean isSelfEarlier(State state, Epoch current) {
        return current.holder().name().equals(state.self().id().name())
                && current.holder().incarnation() < state.self().id().incarnation();
    }

    private static boolean isKnownDead(State state, Epoch current) {
        Member member = state.membership().members().get(current.holder().name());
        if (member == null) {
            return state.nowMillis() - state.membership().startedAtMillis()
                    >= state.timing().deadAfterMillis();
        }
        return !Membership.isAlive(state, member)
                || member.row().id().incarnation() > current.holder().incarnation();
    }

    /**
     * Gives up {@code shard}; requests that wait are sent back, requests that run are still
     * answered.
     */
    private static Transition giveUp(State state, ShardId shard, Epoch winner, String reason) {
        ShardState owned = state.shards().get(shard);
        ShardView view =
                state.ownership().view(shard).seen(winner.number()).lost(state.nowMillis());
        PSortedMap<TaskId, RunningTask> detached = state.detached();
        for (RunningTask task : owned.tasks().values()) {
            if (task.origin().isPresent()) {
                detached = detached.plus(task.spec().id(), task);
            }
        }
        State without =
                state.withShards(state.shards().minus(shard))
                        .withDetached(detached)
                        .withOwnership(state.ownership().with(shard, view));
        Transition result =
                Transition.of(without)
                        .with(shardDecision(DecisionKind.SHARD_RELEASED, shard, winner, reason));
        AttemptResult back = AttemptResult.notRunHere(RefusalReason.OWNER_CHANGED);
        for (var request : owned.queue().requestPositions().keySet()) {
            var origin = owned.queue().request(request).orElseThrow().origin();
            result = result.then(s -> Attempts.report(s, origin, back));
        }
        return result;
    }

    private static LogDecision shardDecision(
            DecisionKind kind, ShardId shard, Epoch epoch, String reason) {
        return new LogDecision(
                kind, shard.value(), Optional.empty(), epoch.toString(), reason, 0, 0);
    }

    /**
     * Another entry's claim to a shard.
     *
     * @param epoch its epoch
     * @param handoverTo the entry that it asks to take over
     */
    private record Claim(Epoch epoch, Optional<String> handoverTo) {}

    private static Optional<Claim> highestOtherClaim(State state, ShardId shard) {
        Optional<Claim> highest = Optional.empty();
        for (Member member : state.membership().members().values()) {
            Optional<ShardSummary> summary = member.row().shard(shard);
            if (summary.isEmpty() || !Membership.isAlive(state, member)) {
                continue;
            }
            Epoch epoch = summary.get().epoch();
            if (highest.isEmpty() || epoch.isAbove(highest.get().epoch())) {
                highest = Optional.of(new Claim(epoch, summary.get().handoverTo()));
            }
        }
        return highest;
    }
}
