package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.TaskId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What is known of a worker's ability to run what it starts.
 *
 * @param phase whether it takes work
 * @param failures failures within the window
 * @param outcomes the last outcomes, the newest in the lowest bit; a set bit is a failure
 * @param untilMillis when a pause ends or a probe is due
 * @param probeIntervalMillis time from the last failure to the next probe
 * @param probe the task that runs as a probe
 */
public record WorkerHealth(
        Phase phase,
        PVector<Failure> failures,
        int outcomes,
        long untilMillis,
        long probeIntervalMillis,
        Optional<TaskId> probe) {
    /** Time from the start of a quarantine to the first probe. */
    static final long FIRST_PROBE_MILLIS = 10_000;

    /** The longest time between two probes. */
    static final long LONGEST_PROBE_MILLIS = 300_000;

    /** Outcomes of which more than half must not be failures. */
    static final int RECENT_OUTCOMES = 20;

    /**
     * Pause after the first failure in the window, doubled by each further one. A worker that fails
     * quickly looks idle, and without the pause it would attract most of the work.
     */
    static final long FIRST_PAUSE_MILLIS = 250;

    private static final int RECENT_MASK = (1 << RECENT_OUTCOMES) - 1;
    private static final int MAX_DOUBLINGS = 4;

    /** A worker of which nothing bad is known. */
    public static final WorkerHealth GOOD =
            new WorkerHealth(Phase.GOOD, TreePVector.empty(), 0, 0, 0, Optional.empty());

    /** Whether a worker takes work. */
    public enum Phase {
        /** It takes work. */
        GOOD,
        /** It takes no work for a moment after a failure. */
        PAUSED,
        /** It takes no work until a probe is due. */
        QUARANTINED,
        /** It takes one task, as a probe. */
        PROBE_DUE,
        /** It runs a probe and takes no other work. */
        PROBING
    }

    /**
     * A failure of a task.
     *
     * @param atMillis when
     * @param subject the job or queue of the task
     */
    public record Failure(long atMillis, String subject) {}

    /** Returns whether work may be placed on the worker. */
    public boolean takesWork() {
        return phase == Phase.GOOD || phase == Phase.PROBE_DUE;
    }

    /** Returns whether the worker is kept from work until a probe succeeds. */
    public boolean isQuarantined() {
        return phase != Phase.GOOD && phase != Phase.PAUSED;
    }

    /** Returns whether {@link #elapsed} would change this health. */
    boolean isDue(long nowMillis) {
        return (phase == Phase.PAUSED || phase == Phase.QUARANTINED) && nowMillis >= untilMillis;
    }

    /** Returns this health after a pause or the wait for a probe is over. */
    WorkerHealth elapsed(long nowMillis) {
        if (!isDue(nowMillis)) {
            return this;
        }
        return in(phase == Phase.PAUSED ? Phase.GOOD : Phase.PROBE_DUE, untilMillis);
    }

    /** Returns this health after {@code task} was placed on the worker. */
    WorkerHealth started(TaskId task) {
        return phase == Phase.PROBE_DUE
                ? new WorkerHealth(
                        Phase.PROBING,
                        failures,
                        outcomes,
                        untilMillis,
                        probeIntervalMillis,
                        Optional.of(task))
                : this;
    }

    /**
     * Returns this health after {@code task} left the worker; without an outcome a probe is due.
     */
    WorkerHealth released(TaskId task) {
        return phase == Phase.PROBING && probe.equals(Optional.of(task))
                ? in(Phase.PROBE_DUE, untilMillis)
                : this;
    }

    /** Returns this health after {@code task} succeeded. */
    WorkerHealth succeeded(TaskId task) {
        if (phase == Phase.PROBING) {
            return probe.equals(Optional.of(task)) ? GOOD : this;
        }
        return outcomes == 0
                ? this
                : new WorkerHealth(
                        phase,
                        failures,
                        (outcomes << 1) & RECENT_MASK,
                        untilMillis,
                        probeIntervalMillis,
                        probe);
    }

    /**
     * Returns this health after {@code task} failed.
     *
     * <p>A job that fails everywhere must not put workers into quarantine. So a {@code subject}
     * that has not succeeded lately ({@code proven} is false) counts once per worker and window.
     */
    WorkerHealth failed(
            TaskId task, String subject, boolean proven, long nowMillis, Tuning tuning) {
        if (phase == Phase.PROBING && probe.equals(Optional.of(task))) {
            return quarantined(
                    failures, nowMillis, Math.min(LONGEST_PROBE_MILLIS, 2 * probeIntervalMillis));
        }
        boolean counted = proven || failures.stream().noneMatch(f -> f.subject().equals(subject));
        if (isQuarantined() || !counted) {
            return this;
        }
        long oldest = nowMillis - tuning.quarantineWindowMillis();
        PVector<Failure> recent =
                TreePVector.from(failures.stream().filter(f -> f.atMillis() > oldest).toList())
                        .plus(new Failure(nowMillis, subject));
        int shifted = ((outcomes << 1) | 1) & RECENT_MASK;
        WorkerHealth noted =
                new WorkerHealth(phase, recent, shifted, untilMillis, probeIntervalMillis, probe);
        if (recent.size() >= tuning.quarantineFailures()
                || Integer.bitCount(shifted) > RECENT_OUTCOMES / 2) {
            return noted.quarantined(recent, nowMillis, FIRST_PROBE_MILLIS);
        }
        long pause = FIRST_PAUSE_MILLIS << Math.min(recent.size() - 1, MAX_DOUBLINGS);
        return noted.in(Phase.PAUSED, nowMillis + pause);
    }

    private WorkerHealth quarantined(PVector<Failure> recent, long nowMillis, long intervalMillis) {
        return new WorkerHealth(
                Phase.QUARANTINED,
                recent,
                outcomes,
                nowMillis + intervalMillis,
                intervalMillis,
                Optional.empty());
    }

    private WorkerHealth in(Phase other, long millis) {
        return new WorkerHealth(
                other, failures, outcomes, millis, probeIntervalMillis, Optional.empty());
    }
}
