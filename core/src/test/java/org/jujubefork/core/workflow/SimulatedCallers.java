package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.jujubefork.core.workflow.WorkflowEvent.Call;

/**
 * The callers of the simulation. Records which jobs they submitted and which answers they received.
 */
final class SimulatedCallers {
    private final Simulation simulation;
    private final Set<String> acceptedJobs = new HashSet<>();
    private final Set<String> cancelledJobs = new HashSet<>();
    private final Map<Long, String> submittedJobs = new HashMap<>();
    private final Map<Long, String> queriedJobs = new HashMap<>();
    private final Map<String, Job.Status> reportedStatuses = new HashMap<>();
    private final Map<String, String> queues = new HashMap<>();
    private final Map<String, String> teams = new HashMap<>();
    private long nextRequestId = 1;

    SimulatedCallers(Simulation simulation) {
        this.simulation = simulation;
    }

    Set<String> acceptedJobs() {
        return acceptedJobs;
    }

    Set<String> cancelledJobs() {
        return cancelledJobs;
    }

    Map<String, Job.Status> reportedStatuses() {
        return reportedStatuses;
    }

    String queueOf(String job) {
        return queues.get(job);
    }

    String teamOf(String job) {
        return teams.get(job);
    }

    void answered(WorkflowEffect.Answer answer) {
        String job = submittedJobs.remove(answer.requestId());
        if (job != null && answer.reply() instanceof Reply.Done) {
            acceptedJobs.add(job);
        }
        String queriedJob = queriedJobs.remove(answer.requestId());
        if (queriedJob != null && answer.reply() instanceof Reply.JobStatus status) {
            reportedStatuses.put(queriedJob, status.status());
        } else if (queriedJob != null && answer.reply() instanceof Reply.NoSuchJob) {
            simulation.safetyChecker.recordViolation(
                    "accepted job " + queriedJob + " is unknown at " + simulation.now());
        }
    }

    private void send(long requestId, Call call) {
        simulation.postToLeader(new WorkflowEvent.CallArrived(simulation.now(), requestId, call));
    }

    /** Submits a job to the default queue as the default team. */
    void submit(String id, WorkflowDefinition job) {
        submit(id, job, Simulation.QUEUE, Simulation.TEAM);
    }

    void submit(String id, WorkflowDefinition job, String queue, String team) {
        simulation.submittedDefinitions.put(id, job);
        queues.put(id, queue);
        teams.put(id, team);
        long requestId = nextRequestId++;
        submittedJobs.put(requestId, id);
        send(requestId, new Call.Submit(queue, team, id, job));
    }

    void query(String id) {
        long requestId = nextRequestId++;
        queriedJobs.put(requestId, id);
        send(requestId, new Call.Query(queueOf(id), id));
    }

    void cancel(String id) {
        cancelledJobs.add(id);
        send(nextRequestId++, new Call.Cancel(queueOf(id), id));
    }
}
