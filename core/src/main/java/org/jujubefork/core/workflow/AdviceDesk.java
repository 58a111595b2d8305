package org.jujubefork.core.workflow;

import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Calls to the advice service. It handles the calls of one VM one after the other, so that the
 * leader spreads them over all entries that it can reach.
 *
 * @param advisors the entries that can ask
 * @param queue calls that wait
 * @param open calls under way, by step
 */
public record AdviceDesk(
        PSet<String> advisors, PVector<Question> queue, PMap<StepKey, OpenCall> open) {
    /** A call that takes longer keeps its entry busy so long that urgent calls go elsewhere. */
    static final long LONG_CALL_MILLIS = 60;

    /** The most short calls of one entry at the same time; the second covers the way there. */
    static final int SHORT_CALLS_AT_ONCE = 2;

    /**
     * A call that waits.
     *
     * @param step the step
     * @param workers the candidates
     * @param rank the rank of the step when the call was queued
     * @param priority the priority of its queue, 0 is the most urgent
     * @param renewal whether room is reserved until the answer
     * @param costMillis the time that the service takes
     */
    public record Question(
            StepKey step,
            List<String> workers,
            Urgency.Rank rank,
            int priority,
            boolean renewal,
            long costMillis) {
        /** Copies the candidates. */
        public Question {
            workers = List.copyOf(workers);
        }

        boolean isLong() {
            return costMillis > LONG_CALL_MILLIS;
        }
    }

    /**
     * A call under way.
     *
     * @param advisor the entry that asks
     * @param question what is asked
     */
    public record OpenCall(String advisor, Question question) {}

    /** Returns a desk at which only {@code entry} can ask. */
    public static AdviceDesk of(String entry) {
        return new AdviceDesk(
                HashTreePSet.singleton(entry), TreePVector.empty(), HashTreePMap.empty());
    }

    /** Returns this with other advisors. */
    public AdviceDesk withAdvisors(PSet<String> other) {
        return new AdviceDesk(other, queue, open);
    }

    /** Returns this without calls. */
    public AdviceDesk cleared() {
        return new AdviceDesk(advisors, TreePVector.empty(), HashTreePMap.empty());
    }

    /** Returns this with {@code question} queued. */
    public AdviceDesk plus(Question question) {
        return new AdviceDesk(advisors, queue.plus(question), open);
    }

    /** Returns this with {@code question} under way at {@code advisor}. */
    public AdviceDesk started(Question question, String advisor) {
        return new AdviceDesk(
                advisors,
                queue.minus(question),
                open.plus(question.step(), new OpenCall(advisor, question)));
    }

    /** Returns this with the call about {@code step} ended. */
    public AdviceDesk ended(StepKey step) {
        return new AdviceDesk(advisors, queue, open.minus(step));
    }
}
