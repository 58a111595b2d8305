package org.jujubefork.entry.workflow;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.workflow.CellConfiguration;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEffect.LogEvent;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.core.workflow.WorkflowReducer;
import org.jujubefork.core.workflow.WorkflowState;
import org.jujubefork.core.workflow.WorkflowTransition;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.ReducerLoop;
import org.pcollections.PMap;

/** A running entry: the control loop, the executors of its effects and what it follows. */
public final class WorkflowDaemon implements AutoCloseable {
    /** The longest time between two ticks in milliseconds. */
    private static final long TICK_MILLIS = 250;

    private static final int QUEUE_EVENTS = 50_000;

    /** How long a question for the configuration waits for a change. */
    private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(1_200);

    /** How long a follower's question for the leader waits for a change. */
    private static final Duration LEADER_WAIT = Duration.ofMillis(1_000);

    /** The leader asks more often: an answer proves that it still leads. */
    private static final Duration OWN_LEADERSHIP_WAIT = Duration.ofMillis(500);

    /** How long a question for the list of workers waits for a change. */
    private static final Duration WORKERS_WAIT = Duration.ofMillis(1_000);

    /** Pause between two questions for the list of workers, which gathers changes. */
    private static final Duration WORKERS_PAUSE = Duration.ofMillis(400);

    /** Time between two renewals of the leader's lease. */
    private static final Duration LEASE_RENEWAL = Duration.ofMillis(500);

    /**
     * Wait of the first question after one that failed: its answer shows that the store is back,
     * and nothing is served before that is known.
     */
    private static final Duration WAIT_AFTER_FAILURE = Duration.ofMillis(20);

    /** Pause after a question that the store did not answer. */
    private static final Duration FAILURE_PAUSE = Duration.ofMillis(150);

    /**
     * What an entry runs with.
     *
     * @param entry its name
     * @param address where it serves the other entries
     * @param clock its monotonic clock
     * @param store the platform's store
     * @param workers the interface of the workers
     * @param advisor the advice service
     * @param notes its log
     */
    public record Setup(
            String entry,
            HostPort address,
            Clock clock,
            WorkflowStore store,
            WorkerPort workers,
            Advisor advisor,
            NoteLog notes) {}

    private final Setup setup;
    private final ReducerLoop<WorkflowState, WorkflowEvent, WorkflowEffect> loop;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Peers peers;
    private final CallGateway gateway;
    private final Term term = new Term();
    private volatile boolean open = true;

    private WorkflowDaemon(Setup setup) throws IOException {
        this.setup = setup;
        this.loop =
                ReducerLoop.of(
                        new ReducerLoop.Setup<>(
                                WorkflowState.initial(setup.entry()),
                                WorkflowDaemon::reduce,
                                now -> new WorkflowEvent.Tick(now, System.currentTimeMillis()),
                                TICK_MILLIS,
                                WorkflowState::nextTickAt,
                                setup.clock(),
                                QUEUE_EVENTS));
        Requests requests = new Requests();
        Consumer<WorkflowEvent> events = loop::post;
        this.peers =
                Peers.start(
                        new Peers.Context(
                                setup.entry(),
                                setup.address(),
                                setup.clock(),
                                events,
                                requests,
                                setup.advisor()),
                        () -> now() - loop.state().leadership().confirmedAt());
        this.gateway = new CallGateway(peers, requests, setup.clock(), events);
        EffectRunner effects =
                new EffectRunner(
                        new EffectRunner.Tools(
                                setup.entry(),
                                setup.address(),
                                setup.clock(),
                                events,
                                executor,
                                setup.store(),
                                setup.workers(),
                                setup.advisor(),
                                requests,
                                peers,
                                setup.notes()),
                        this::leaderChanged);
        loop.start(effects);
        executor.execute(this::followConfiguration);
        executor.execute(this::followLeader);
        executor.execute(this::renewLease);
        executor.execute(this::followWorkers);
    }

    /**
     * Starts an entry.
     *
     * @throws IOException if the address of the entry cannot be bound
     */
    public static WorkflowDaemon start(Setup setup) throws IOException {
        return new WorkflowDaemon(setup);
    }

    private static ReducerLoop.Reduced<WorkflowState, WorkflowEffect> reduce(
            WorkflowState state, WorkflowEvent event) {
        WorkflowTransition transition = WorkflowReducer.reduce(state, event);
        return new ReducerLoop.Reduced<>(transition.state(), transition.effects());
    }

    /** Returns the newest state. */
    public WorkflowState state() {
        return loop.state();
    }

    /** Returns the way of calls to the leader. */
    public CallGateway gateway() {
        return gateway;
    }

    /** Returns the time since the store last showed the configuration to be the newest. */
    public long configurationAgeMillis() {
        return now() - loop.state().configurationConfirmedAt();
    }

    /** Has another entry lead, because this one stops. */
    public void resign() {
        loop.post(new WorkflowEvent.ResignRequested(now()));
    }

    private long now() {
        return setup.clock().millis();
    }

    private void leaderChanged(WorkflowEffect.LeaderChanged change) {
        term.set(change.self() ? Optional.of(change.leader()) : Optional.empty());
    }

    /** Something that is done again and again while the entry runs. */
    @FunctionalInterface
    private interface Round {
        /**
         * Does it once.
         *
         * @param failing whether it failed the last time
         */
        void run(boolean failing) throws IOException, InterruptedException;
    }

    /** Repeats {@code round}; logs when it starts to fail and when it works again. */
    private void repeat(String dependency, Round round) {
        boolean failing = false;
        while (open) {
            try {
                round.run(failing);
                if (failing) {
                    failing = false;
                    setup.notes().write(LogEvent.of("dependency-regained", dependency));
                }
            } catch (IOException e) {
                if (!failing) {
                    failing = true;
                    setup.notes()
                            .write(
                                    LogEvent.of(
                                            "dependency-lost",
                                            dependency,
                                            "reason",
                                            e.getMessage()));
                }
                pause(FAILURE_PAUSE);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void pause(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void followConfiguration() {
        WorkflowStore.Feed<Optional<CellConfiguration>> feed = setup.store().configuration();
        repeat(
                "store-configuration",
                failing -> {
                    long sentAt = now();
                    Optional<CellConfiguration> newest =
                            feed.next(failing ? WAIT_AFTER_FAILURE : CONFIGURATION_WAIT);
                    loop.post(new WorkflowEvent.ConfigurationRead(now(), sentAt, newest));
                });
    }

    private void followLeader() {
        WorkflowStore.Feed<Optional<LeaderRecord>> feed = setup.store().leader();
        repeat(
                "store-leader",
                failing -> {
                    long sentAt = now();
                    Duration wait = term.isLeading() ? OWN_LEADERSHIP_WAIT : LEADER_WAIT;
                    Optional<LeaderRecord> leader = feed.next(failing ? WAIT_AFTER_FAILURE : wait);
                    loop.post(new WorkflowEvent.LeaderRead(now(), sentAt, leader));
                });
    }

    private void renewLease() {
        repeat(
                "store-lease",
                failing -> {
                    setup.store().renewLeaderLease(term.await());
                    Thread.sleep(LEASE_RENEWAL);
                });
    }

    /** Follows the list of workers while this entry leads, anew in each term. */
    private void followWorkers() {
        repeat(
                "store-workers",
                failing -> {
                    LeaderRecord leader = term.await();
                    WorkflowStore.Feed<PMap<String, WorkerNode.Listing>> feed =
                            setup.store().workers();
                    while (open && term.isCurrent(leader)) {
                        loop.post(new WorkflowEvent.WorkersListed(now(), feed.next(WORKERS_WAIT)));
                        Thread.sleep(WORKERS_PAUSE);
                    }
                });
    }

    @Override
    public void close() throws IOException {
        open = false;
        loop.close();
        peers.close();
        executor.shutdownNow();
    }
}
