package org.jujubefork.entry.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jujubefork.client.api.ApiCodec;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.MissingShardsView;
import org.jujubefork.client.api.TaskView;
import org.jujubefork.client.api.TasksView;
import org.jujubefork.client.api.WorkerView;
import org.jujubefork.client.api.WorkersView;
import org.jujubefork.core.control.State;
import org.jujubefork.core.explain.FleetStatus;
import org.jujubefork.core.explain.FleetStatuses;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.EntryId;

/** Collects the workers and tasks of all shards from the shards' owners. */
public final class FleetViews {
    /** Time limit for the answers of the owners; slower owners are listed as missing. */
    static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);

    private static final String WORKERS = "workers";
    private static final String TASKS = "tasks";

    /** Fetches a view from another entry. */
    @FunctionalInterface
    public interface Fetcher {
        /**
         * Fetches the view named {@code view}.
         *
         * @param peerAddress the peer address of the other entry
         * @return a future with the view as JSON; it fails with a {@link TimeoutException} if there
         *     is no answer within {@code timeout}
         */
        CompletableFuture<byte[]> fetch(String peerAddress, String view, Duration timeout);
    }

    /**
     * A view that was requested from an owner.
     *
     * @param entry the owner of the shards
     * @param shards the ids of the shards that it owns
     * @param view the answer of the owner in JSON
     */
    private record PendingView(
            EntryId entry, List<String> shards, CompletableFuture<byte[]> view) {}

    /** Adds the rows of one owner to the result. */
    @FunctionalInterface
    private interface RowCollector {
        void add(byte[] json) throws InvalidMessageException;
    }

    private final Supplier<State> state;
    private final Fetcher fetch;

    /** Creates views of the shards in {@code state}; {@code fetch} queries the other owners. */
    public FleetViews(Supplier<State> state, Fetcher fetch) {
        this.state = state;
        this.fetch = fetch;
    }

    /**
     * Returns the view {@code name} of the shards that {@code state} owns as JSON; empty if there
     * is no view of this name.
     */
    public static Optional<byte[]> localView(State state, String name) {
        return switch (name) {
            case WORKERS -> Optional.of(ApiCodec.encode(StatusViews.workers(state)));
            case TASKS -> Optional.of(ApiCodec.encode(StatusViews.tasks(state)));
            default -> Optional.empty();
        };
    }

    WorkersView workers() throws InterruptedException {
        State current = state.get();
        List<WorkerView> rows = new ArrayList<>(StatusViews.workers(current).workers());
        List<MissingShardsView> missing =
                collectFromOwners(
                        current,
                        WORKERS,
                        json ->
                                rows.addAll(
                                        ApiCodec.decodeResponse(json, WorkersView.class)
                                                .workers()));
        return new WorkersView(rows, missing);
    }

    TasksView tasks() throws InterruptedException {
        State current = state.get();
        List<TaskView> rows = new ArrayList<>(StatusViews.tasks(current).tasks());
        List<MissingShardsView> missing =
                collectFromOwners(
                        current,
                        TASKS,
                        json ->
                                rows.addAll(
                                        ApiCodec.decodeResponse(json, TasksView.class).tasks()));
        return new TasksView(rows, missing);
    }

    /** Adds the rows of all other owners; returns the shards whose rows could not be fetched. */
    private List<MissingShardsView> collectFromOwners(State current, String view, RowCollector rows)
            throws InterruptedException {
        Map<EntryId, List<String>> owners = new TreeMap<>();
        List<String> ownerless = new ArrayList<>();
        for (FleetStatus.ShardStatus shard : FleetStatuses.of(current).shards()) {
            if (shard.owner().isEmpty()) {
                ownerless.add(shard.shard().value());
            } else if (!shard.owner().get().equals(current.self().id())) {
                owners.computeIfAbsent(shard.owner().get(), o -> new ArrayList<>())
                        .add(shard.shard().value());
            }
        }
        List<PendingView> pendingViews = new ArrayList<>();
        owners.forEach((owner, shards) -> pendingViews.add(request(current, owner, shards, view)));
        List<MissingShardsView> missing = new ArrayList<>();
        if (!ownerless.isEmpty()) {
            missing.add(new MissingShardsView("", ownerless, "no live owner is known"));
        }
        for (PendingView pending : pendingViews) {
            collect(pending, rows)
                    .ifPresent(
                            reason ->
                                    missing.add(
                                            new MissingShardsView(
                                                    pending.entry().name(),
                                                    pending.shards(),
                                                    reason)));
        }
        return missing;
    }

    private PendingView request(State current, EntryId owner, List<String> shards, String view) {
        Member member = current.membership().members().get(owner.name());
        CompletableFuture<byte[]> answer =
                fetch.fetch(member.row().peerAddress(), view, FETCH_TIMEOUT);
        return new PendingView(owner, shards, answer);
    }

    /** Returns why the rows could not be fetched, empty if they were added. */
    private static Optional<String> collect(PendingView pending, RowCollector rows)
            throws InterruptedException {
        try {
            rows.add(pending.view().get());
            return Optional.empty();
        } catch (ExecutionException e) {
            return Optional.of(
                    e.getCause() instanceof TimeoutException
                            ? "no answer within " + FETCH_TIMEOUT.toMillis() + " ms"
                            : e.getCause().getMessage());
        } catch (InvalidMessageException e) {
            return Optional.of("the answer cannot be read: " + e.getMessage());
        }
    }
}
