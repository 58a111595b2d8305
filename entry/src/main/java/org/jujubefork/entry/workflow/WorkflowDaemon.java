package org.jujubefork.entry.workflow;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.workflow.Evacuations;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.SchedulingPolicies;
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

/**
 * A running entry. Owns the control loop, the executor of its effects, the connections to other
 * entries, and the threads that watch the store.
 */
public final class WorkflowDaemon implements AutoCloseable {
    /** The longest time between two ticks of the control loop. */
    private static final long MAX_TICK_INTERVAL_MILLIS = 250;

    private static final int MAX_QUEUED_EVENTS = 50_000;

    /** How long a watch call for the configuration waits for a change. */
    private static final Duration CONFIGURATION_WATCH_WAIT = Duration.ofMillis(1_200);

    /** Minimum number of watch calls within the maximum age of the view of the evacuations. */
    private static final int WATCHES_PER_EVACUATION_AGE = 3;

    /** How long a follower's watch call for the leader's record waits for a change. */
    private static final Duration LEADER_WATCH_WAIT = Duration.ofMillis(1_000);

    /**
     * How long the leader's watch call for its own record waits for a change. Shorter than a
     * follower's wait, because each answer confirms that this entry still leads.
     */
    private static final Duration OWN_LEADERSHIP_WATCH_WAIT = Duration.ofMillis(500);

    /** How long a watch call for the list of workers waits for a change. */
    private static final Duration WORKERS_WATCH_WAIT = Duration.ofMillis(1_000);

    /** Pause between watch calls for the list of workers, so that one call returns many changes. */
    private static final Duration WORKERS_WATCH_PAUSE = Duration.ofMillis(400);

    /** Interval between renewals of the leader's lease in the store. */
    private static final Duration LEASE_RENEWAL_INTERVAL = Duration.ofMillis(500);

    /**
     * How long a watch call waits for a change if the previous call failed. It is short because the
     * answer shows that the store is reachable again, and callers are not served before that.
     */
    private static final Duration WATCH_WAIT_AFTER_FAILURE = Duration.ofMillis(20);

    /** Delay after a failed call to a dependency before the next call. */
    private static final Duration FAILURE_RETRY_DELAY = Duration.ofMillis(150);

    /**
     * The identity of an entry and the services that it uses.
     *
     * @param entry the name of the entry
     * @param processorMillicores the processor capacity of its VM in thousandths of a core
     * @param address the address on which it accepts connections of other entries
     * @param clock the monotonic clock
     * @param store the platform's store
     * @param workers calls to the workers
     * @param adviceClient calls to the advice service
     * @param logWriter receives the log events
     * @param policies the scheduling policies
     * @param evacuations no evacuated zones, with the bound that the settings give
     */
    public record Setup(
            String entry,
            int processorMillicores,
            HostPort address,
            Clock clock,
            WorkflowStore store,
            WorkerApi workers,
            AdviceClient adviceClient,
            LogEventWriter logWriter,
            SchedulingPolicies policies,
            Evacuations evacuations) {}

    private final Setup setup;
    private final ReducerLoop<WorkflowState, WorkflowEvent, WorkflowEffect> loop;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final PeerConnections peerConnections;
    private final CallGateway gateway;
    private final OwnTerm ownTerm = new OwnTerm();

    /** Holds a permit if the worker list is to be read without a pause. */
    private final Semaphore workerListRequests = new Semaphore(0);

    private volatile boolean open = true;

    private WorkflowDaemon(Setup setup) throws IOException {
        this.setup = setup;
        this.loop =
                ReducerLoop.of(
                        new ReducerLoop.Setup<>(
                                WorkflowState.initial(
                                        setup.entry(),
                                        setup.processorMillicores(),
                                        setup.policies(),
                                        setup.evacuations()),
                                WorkflowDaemon::reduce,
                                now -> new WorkflowEvent.Tick(now, System.currentTimeMillis()),
                                MAX_TICK_INTERVAL_MILLIS,
                                WorkflowState::nextTickAt,
                                setup.clock(),
                                MAX_QUEUED_EVENTS));
        PendingCalls pendingCalls = new PendingCalls();
        Consumer<WorkflowEvent> events = loop::post;
        this.peerConnections =
                PeerConnections.start(
                        new PeerConnections.Context(
                                setup.entry(),
                                setup.processorMillicores(),
                                setup.address(),
                                setup.clock(),
                                events,
                                pendingCalls,
                                setup.adviceClient()),
                        () -> now() - loop.state().leadership().confirmedAt());
        this.gateway = new CallGateway(peerConnections, pendingCalls, setup.clock(), events);
        WorkflowEffectExecutor effects =
                new WorkflowEffectExecutor(
                        new WorkflowEffectExecutor.Context(
                                setup.entry(),
                                setup.address(),
                                setup.clock(),
                                events,
                                executor,
                                setup.store(),
                                setup.workers(),
                                setup.adviceClient(),
                                pendingCalls,
                                peerConnections,
                                setup.logWriter()),
                        this::onLeaderChanged,
                        workerListRequests::release);
        loop.start(effects, new ControlLoadLog(loop::state, setup.logWriter()::write));
        executor.execute(this::watchOperators);
        executor.execute(this::watchLeader);
        executor.execute(this::renewLease);
        executor.execute(this::watchWorkers);
    }

    /**
     * Starts an entry.
     *
     * @throws IOException if the address of the entry cannot be bound
     */
    public static WorkflowDaemon start(Setup setup) throws IOException {
        return new WorkflowDaemon(setup);
    }

    private static ReducerLoop.ReducerResult<WorkflowState, WorkflowEffect> reduce(
            WorkflowState state, WorkflowEvent event) {
        WorkflowTransition transition = WorkflowReducer.reduce(state, event);
        return new ReducerLoop.ReducerResult<>(transition.state(), transition.effects());
    }

    /** Returns the newest control state. */
    public WorkflowState state() {
        return loop.state();
    }

    /** Returns the number of events that wait for the control thread. */
    public int queuedEvents() {
        return loop.backlog();
    }

    /** Returns the gateway that routes calls to the leader. */
    public CallGateway gateway() {
        return gateway;
    }

    /**
     * Returns the time since the store last confirmed that this entry's configuration is current.
     */
    public long configurationAgeMillis() {
        return now() - loop.state().configurationConfirmedAt();
    }

    /** Gives up leadership if this entry leads. Called when the process is stopping. */
    public void resign() {
        loop.post(new WorkflowEvent.ResignRequested(now()));
    }

    private long now() {
        return setup.clock().millis();
    }

    private void onLeaderChanged(WorkflowEffect.LeaderChanged change) {
        ownTerm.set(change.thisEntryLeads() ? Optional.of(change.leader()) : Optional.empty());
    }

    /** One iteration of a loop that runs as long as the entry. */
    @FunctionalInterface
    private interface Iteration {
        /**
         * Runs the iteration.
         *
         * @param previousFailed whether the previous iteration failed
         * @throws IOException if the dependency gave no usable answer
         */
        void run(boolean previousFailed) throws IOException, InterruptedException;
    }

    /**
     * Repeats {@code iteration} until this entry is closed. Logs when {@code dependency} starts to
     * fail and when it works again.
     */
    private void repeat(String dependency, Iteration iteration) {
        boolean failing = false;
        while (open) {
            try {
                iteration.run(failing);
                if (failing) {
                    failing = false;
                    setup.logWriter().write(LogEvent.of("dependency-regained", dependency));
                }
            } catch (IOException | RuntimeException e) {
                // An unexpected value from a dependency must not end the loop: without its watch
                // an entry would go on with old data until it is restarted.
                if (!failing) {
                    failing = true;
                    setup.logWriter()
                            .write(LogEvent.of("dependency-lost", dependency, "reason", e));
                }
                pause(FAILURE_RETRY_DELAY);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void pause(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void watchOperators() {
        WorkflowStore.Watch<OperatorRecords> watch = setup.store().watchOperators();
        Duration maxWait = operatorsWatchWait(setup.evacuations());
        repeat(
                "store-configuration",
                previousFailed -> {
                    long sentAt = now();
                    OperatorRecords records =
                            watch.next(previousFailed ? WATCH_WAIT_AFTER_FAILURE : maxWait);
                    records.evacuations()
                            .ifPresent(
                                    zones ->
                                            loop.post(
                                                    new WorkflowEvent.EvacuationsRead(
                                                            now(), sentAt, zones)));
                    loop.post(
                            new WorkflowEvent.ConfigurationRead(
                                    now(), sentAt, records.usableConfiguration()));
                });
    }

    /**
     * Returns how long a watch call waits for a change. The view of the evacuations is up to two
     * waits old, and must not reach its maximum age because of a single slow answer.
     */
    private static Duration operatorsWatchWait(Evacuations evacuations) {
        Duration maxWait =
                Duration.ofMillis(evacuations.maxAgeMillis() / WATCHES_PER_EVACUATION_AGE);
        return maxWait.compareTo(CONFIGURATION_WATCH_WAIT) < 0 ? maxWait : CONFIGURATION_WATCH_WAIT;
    }

    private void watchLeader() {
        WorkflowStore.Watch<Optional<LeaderRecord>> watch = setup.store().watchLeader();
        repeat(
                "store-leader",
                previousFailed -> {
                    long sentAt = now();
                    Duration maxWait =
                            ownTerm.isLeading() ? OWN_LEADERSHIP_WATCH_WAIT : LEADER_WATCH_WAIT;
                    Optional<LeaderRecord> leader =
                            watch.next(previousFailed ? WATCH_WAIT_AFTER_FAILURE : maxWait);
                    loop.post(new WorkflowEvent.LeaderRead(now(), sentAt, leader));
                });
    }

    private void renewLease() {
        repeat(
                "store-lease",
                previousFailed -> {
                    setup.store().renewLeaderLease(ownTerm.awaitLeadership());
                    Thread.sleep(LEASE_RENEWAL_INTERVAL);
                });
    }

    /** Watches the list of workers while this entry leads. Each term starts a new watch. */
    private void watchWorkers() {
        repeat(
                "store-workers",
                previousFailed -> {
                    LeaderRecord leader = ownTerm.awaitLeadership();
                    WorkflowStore.Watch<PMap<String, WorkerNode.Listing>> watch =
                            setup.store().watchWorkers();
                    while (open && ownTerm.matches(leader)) {
                        loop.post(
                                new WorkflowEvent.WorkersListed(
                                        now(), watch.next(WORKERS_WATCH_WAIT)));
                        pauseUntilWorkerListRequest();
                    }
                });
    }

    /** Waits for {@link #WORKERS_WATCH_PAUSE}, or until the worker list is requested. */
    private void pauseUntilWorkerListRequest() throws InterruptedException {
        if (workerListRequests.tryAcquire(WORKERS_WATCH_PAUSE.toMillis(), TimeUnit.MILLISECONDS)) {
            // One read serves all requests so far.
            workerListRequests.drainPermits();
        }
    }

    @Override
    public void close() throws IOException {
        open = false;
        gateway.close();
        loop.close();
        peerConnections.close();
        executor.shutdownNow();
    }
}
