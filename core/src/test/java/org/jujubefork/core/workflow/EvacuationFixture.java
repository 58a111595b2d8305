package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.model.Resources;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * An entry in a deployment with evacuations. The zone of a worker is the first letter of its
 * identifier. Workers that the test does not name are not answered for.
 */
final class EvacuationFixture {
    static final long EVACUATION_MILLIS = 5_000;
    private static final long STEP_MILLIS = 100;

    final LeaderFixture leader;
    private PMap<String, EvacuationRequest> requests = HashTreePMap.empty();
    private long nextRevision = 100;
    private boolean watchSilent;
    private int confirmedStops;

    /** Workers that report their runs at half speed. */
    final Set<String> slowWorkers = new HashSet<>();

    private EvacuationFixture(LeaderFixture leader) {
        this.leader = leader;
    }

    /** Returns an entry that follows nobody and has read the store, but no evacuations. */
    static EvacuationFixture following() {
        return following(LeaderFixture.configuration(50));
    }

    private static EvacuationFixture following(CellConfiguration configuration) {
        EvacuationFixture fixture =
                new EvacuationFixture(
                        LeaderFixture.following(
                                configuration, Evacuations.notRead(EVACUATION_MILLIS)));
        LeaderFixture leader = fixture.leader;
        leader.post(new WorkflowEvent.LeaderRead(leader.now(), leader.now(), Optional.empty()));
        return fixture;
    }

    /** Returns a leader with {@code workers}, which have answered, and no evacuated zone. */
    static EvacuationFixture leading(String... workers) {
        return leading(LeaderFixture.configuration(50), workers);
    }

    /** Returns a leader with {@code configuration}; see {@link #leading(String...)}. */
    static EvacuationFixture leading(CellConfiguration configuration, String... workers) {
        EvacuationFixture fixture = following(configuration);
        fixture.leader.winClaim(snapshot(List.of(), HashTreePMap.empty()));
        fixture.listWorkers(workers);
        fixture.advance(300, workers);
        return fixture;
    }

    static WorkflowEvent.Snapshot snapshot(
            List<Job> jobs, PMap<String, EvacuationRequest> requests) {
        return new WorkflowEvent.Snapshot(jobs, List.of(), List.of(), SilentWorkers.NONE, requests);
    }

    static WorkerNode.Listing worker(String id, String label, long coldLeftMillis) {
        WorkerNode.Listing any = LeaderFixture.worker(id);
        return new WorkerNode.Listing(
                id,
                any.service(),
                any.address(),
                zoneOf(id),
                false,
                any.capacity(),
                label.isEmpty() ? List.of() : List.of(label),
                "",
                any.born(),
                coldLeftMillis);
    }

    private static String zoneOf(String worker) {
        return worker.substring(0, 1);
    }

    void listWorkers(String... ids) {
        List<WorkerNode.Listing> listings = new ArrayList<>();
        for (String id : ids) {
            listings.add(worker(id, "", 0));
        }
        leader.list(listings);
    }

    PMap<String, EvacuationRequest> requests() {
        return requests;
    }

    /** Writes a request without reporting it. */
    EvacuationRequest write(String zone, boolean readable) {
        EvacuationRequest request = new EvacuationRequest(nextRevision++, readable);
        requests = requests.plus(zone, request);
        return request;
    }

    /** Writes a request to evacuate {@code zone}; the watch returns it at once. */
    void evacuate(String zone) {
        write(zone, true);
        reportEvacuations();
    }

    /** Removes the request; a watch call that is sent now returns that. */
    void withdraw(String zone) {
        leader.advance(20);
        requests = requests.minus(zone);
        reportEvacuations();
    }

    /** Removes the request without reporting it. */
    void remove(String zone) {
        requests = requests.minus(zone);
    }

    void reportEvacuations() {
        reportEvacuations(leader.now(), requests);
    }

    void reportEvacuations(long sentAt, PMap<String, EvacuationRequest> view) {
        leader.post(new WorkflowEvent.EvacuationsRead(leader.now(), sentAt, view));
    }

    /** Sets whether the watch of the evacuations gets no answers any more. */
    void silenceWatch(boolean silent) {
        watchSilent = silent;
    }

    /**
     * Advances the time by {@code millis} while the store and {@code workers} answer. The workers
     * report each run that was started on them.
     */
    void advance(long millis, String... workers) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(STEP_MILLIS);
            if (!watchSilent) {
                reportEvacuations();
            }
            for (String worker : workers) {
                leader.answerLeaseRenewal(worker, runs(worker), List.of());
            }
            leader.storeAll();
        }
    }

    /** Returns the runs that were started on {@code worker} and not stopped. */
    List<WorkflowEvent.RunningRun> runs(String worker) {
        List<WorkflowEvent.WorkerCommand> stopped =
                stops().stream().map(WorkflowEffect.Stop::command).toList();
        return leader.starts().stream()
                .map(WorkflowEffect.Start::command)
                .filter(c -> c.worker().equals(worker))
                .filter(
                        c ->
                                stopped.stream()
                                        .noneMatch(
                                                s ->
                                                        s.task().equals(c.task())
                                                                && s.runNumber() == c.runNumber()))
                .map(
                        c ->
                                new WorkflowEvent.RunningRun(
                                        c.task(),
                                        c.runNumber(),
                                        "",
                                        slowWorkers.contains(worker) ? 50 : 100))
                .toList();
    }

    /** Returns the stop commands that were sent. */
    List<WorkflowEffect.Stop> stops() {
        return leader.effects.stream()
                .filter(WorkflowEffect.Stop.class::isInstance)
                .map(WorkflowEffect.Stop.class::cast)
                .toList();
    }

    /** Confirms the stop commands that were sent since the last call of this method. */
    void confirmStops() {
        List<WorkflowEffect.Stop> all = stops();
        for (WorkflowEffect.Stop stop : all.subList(confirmedStops, all.size())) {
            leader.post(
                    new WorkflowEvent.CommandCompleted(
                            leader.now(),
                            stop.leaderFence(),
                            stop.command(),
                            WorkflowEvent.CommandOutcome.OK));
        }
        confirmedStops = all.size();
    }

    /** Submits a job whose acceptance is stored. */
    void submit(String id, WorkflowDefinition definition) {
        leader.submit(id, definition);
        leader.advance(20);
        leader.storeAll();
    }

    static WorkflowDefinition labeledJob(String label) {
        return TestSteps.job(
                TestSteps.labeled(1, Resources.of(1_000, 1_000, 0), 1_000, List.of(), label));
    }

    /** Returns the names of the log events of kind {@code event}, in order. */
    List<WorkflowEffect.LogEvent> logged(String event) {
        return leader.effects.stream()
                .filter(WorkflowEffect.LogEvent.class::isInstance)
                .map(WorkflowEffect.LogEvent.class::cast)
                .filter(e -> e.event().equals(event))
                .toList();
    }
}
