package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.JobAdmission.Decision;
import org.jujubefork.core.workflow.Placement.Candidate;
import org.jujubefork.core.workflow.WorkflowEvent.Call;

/**
 * Decides on submitted jobs in the order {@code delay-cost}: only work that goes before a job
 * delays it, and no job is rejected that a free worker could run.
 */
final class DelayCostAdmission {
    private DelayCostAdmission() {}

    static Decision decide(
            WorkflowState state, Call.Submit submit, Queue queue, boolean withinShare) {
        if (!state.backlogs().hasBacklog(queue.service())) {
            return new Decision.Accept();
        }
        List<Candidate> steps = firstSteps(state, submit, queue, withinShare);
        Optional<Candidate> first = steps.stream().min(state.policies().order().waiting());
        if (first.isEmpty()) {
            return new Decision.Accept();
        }
        DelayCost cost = DelayCost.of(first.get());
        long waitMillis = state.backlogs().waitMillisBefore(queue.service(), cost, state.now());
        boolean isTooLate = waitMillis > usefulSlackMillis(first.get().standing());
        OptionalLong shareDelay =
                state.policies()
                        .share()
                        .rejectionDelayMillis(state, submit.team(), queue, withinShare);
        boolean hasRoom =
                JobAdmission.hasUnclaimedRoom(state, submit, queue) && hasRoom(state, steps);
        if (!(isTooLate || shareDelay.isPresent()) || hasRoom) {
            return new Decision.Accept();
        }
        Optional<Long> orderValueMillis = DelayCost.loggedValue(first.get());
        return shareDelay.isPresent()
                ? JobAdmission.overShare(
                        state, submit, queue, shareDelay.getAsLong(), orderValueMillis)
                : JobAdmission.tooLate(state, submit, queue, waitMillis, orderValueMillis);
    }

    /** Returns how long a job can wait and still complete within three times its objective. */
    private static double usefulSlackMillis(Urgency.Standing standing) {
        return standing.slackMillis()
                + (Urgency.MAX_OBJECTIVE_FACTOR - 1) * standing.objectiveMillis();
    }

    /** Returns the steps of the job that can start at once. */
    private static List<Candidate> firstSteps(
            WorkflowState state, Call.Submit submit, Queue queue, boolean withinShare) {
        Job job =
                Job.submitted(
                                submit.job(),
                                submit.queue(),
                                submit.team(),
                                submit.definition(),
                                new Job.Acceptance(
                                        state.term(), state.now(), state.wallMillis(), withinShare))
                        .withOccurrence(0);
        return job.readySteps().stream()
                .map(k -> Placement.candidate(state, job, k, queue))
                .toList();
    }

    /** Returns whether all tasks of one of {@code steps} could start now on free workers. */
    private static boolean hasRoom(WorkflowState state, List<Candidate> steps) {
        PassCapacity capacity = PassCapacity.of(state);
        return steps.stream().anyMatch(s -> hasRoom(capacity, s));
    }

    private static boolean hasRoom(PassCapacity capacity, Candidate step) {
        int taskCount = step.definition().taskCount();
        long freePlaces =
                capacity.usableWorkers().stream()
                        .filter(n -> PassCapacity.isEligible(step, n))
                        .mapToLong(n -> capacity.freePlaces(step, n))
                        .sum();
        return freePlaces >= taskCount && capacity.isWithinTeamLimit(step, taskCount);
    }
}
