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

/** Gathers the workers and tasks of all shards from their owners. */
public final class FleetViews {
    /** Time for the answers of all owners; one that takes longer is named as missing. */
    static final Duration TIMEOUT = Duration.ofSeconds(2);

    private static final String WORKERS = "workers";
    private static final String TASKS = "tasks";

    /** Fetches a view from another entry. */
    @FunctionalInterface
    public interface Fetch {
        /** Returns the view's JSON form; fails after {@code timeout}. */
        CompletableFuture<byte[]> view(String peerAddress, String view, Duration timeout);
    }

    /**
     * An owner whose answer is awaited.
     *
     * @param entry the owner
     * @param shards its shards
     * @param view its answer
     */
    private record Asked(EntryId entry, List<String> shards, CompletableFuture<byte[]> view) {}

    /** Takes the rows of one owner. */
    @FunctionalInterface
    private interface Rows {
        void add(byte[] json) throws InvalidMessageException;
    }

    private final Supplier<State> state;
    private final Fetch fetch;

    /** Creates views of the shards that are known in {@code state}. */
    public FleetViews(Supplier<State> state, Fetch fetch) {
        this.state = state;
        this.fetch = fetch;
    }

    /** Returns the view {@code name} of the shards that {@code state} owns, as JSON. */
    public static Optional<byte[]> own(State state, String name) {
        return switch (name) {
            case WORKERS -> Optional.of(ApiCodec.encode(StatusViews.workers(state)));
            case TASKS -> Optional.of(ApiCodec.encode(StatusViews.tasks(state)));
            default -> Optional.empty();
        };
    }

    WorkersView workers() throws InterruptedException {
        State now = state.get();
        List<WorkerView> rows = new ArrayList<>(StatusViews.workers(now).workers());
        List<MissingShardsView> missing =
                gather(
                        now,
                        WORKERS,
                        json ->
                                rows.addAll(
                                        ApiCodec.decodeResponse(json, WorkersView.class)
                                                .workers()));
        return new WorkersView(rows, missing);
    }

    TasksView tasks() throws InterruptedException {
        State now = state.get();
        List<TaskView> rows = new ArrayList<>(StatusViews.tasks(now).tasks());
        List<MissingShardsView> missing =
                gather(
                        now,
                        TASKS,
                        json ->
                                rows.addAll(
                                        ApiCodec.decodeResponse(json, TasksView.class).tasks()));
        return new TasksView(rows, missing);
    }

    private List<MissingShardsView> gather(State now, String view, Rows rows)
            throws InterruptedException {
        Map<EntryId, List<String>> owners = new TreeMap<>();
        List<String> ownerless = new ArrayList<>();
        for (FleetStatus.ShardStatus shard : FleetStatuses.of(now).shards()) {
            if (shard.owner().isEmpty()) {
                ownerless.add(shard.shard().value());
            } else if (!shard.owner().get().equals(now.self().id())) {
                owners.computeIfAbsent(shard.owner().get(), o -> new ArrayList<>())
                        .add(shard.shard().value());
            }
        }
        List<Asked> asked = new ArrayList<>();
        owners.forEach((owner, shards) -> asked.add(ask(now, owner, shards, view)));
        List<MissingShardsView> missing = new ArrayList<>();
        if (!ownerless.isEmpty()) {
            missing.add(new MissingShardsView("", ownerless, "no live owner is known"));
        }
        for (Asked each : asked) {
            take(each, rows)
                    .ifPresent(
                            why ->
                                    missing.add(
                                            new MissingShardsView(
                                                    each.entry().name(), each.shards(), why)));
        }
        return missing;
    }

    private Asked ask(State now, EntryId owner, List<String> shards, String view) {
        Member member = now.membership().members().get(owner.name());
        CompletableFuture<byte[]> answer = fetch.view(member.row().peerAddress(), view, TIMEOUT);
        return new Asked(owner, shards, answer);
    }

    /** Returns why the rows are missing, empty if they were taken. */
    private static Optional<String> take(Asked asked, Rows rows) throws InterruptedException {
        try {
            rows.add(asked.view().get());
            return Optional.empty();
        } catch (ExecutionException e) {
            return Optional.of(
                    e.getCause() instanceof TimeoutException
                            ? "no answer within " + TIMEOUT.toMillis() + " ms"
                            : e.getCause().getMessage());
        } catch (InvalidMessageException e) {
            return Optional.of("the answer cannot be read: " + e.getMessage());
        }
    }
}
