package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.TaskId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The health of a worker, derived from the outcomes of its tasks.
 *
 * @param phase whether it accepts work
 * @param failures failures within the quarantine window
 * @param recentOutcomes the most recent outcomes as bits, the newest in the lowest bit; a set bit
 *     is a failure
 * @param untilMillis when a pause ends or the next probe is due
 * @param probeIntervalMillis time from the last failure to the next probe
 * @param probe the task that runs as a probe
 */
public record WorkerHealth(
        Phase phase,
        PVector<Failure> failures,
        int recentOutcomes,
        long untilMillis,
        long probeIntervalMillis,
        Optional<TaskId> probe) {
    /** Time from the start of a quarantine to the first probe. */
    static final long INITIAL_PROBE_INTERVAL_MILLIS = 10_000;

    /** Maximum time between two probes. */
    static final long MAX_PROBE_INTERVAL_MILLIS = 300_000;

    /**
     * Number of recent outcomes that are considered; a worker is quarantined if more than half of
     * them are failures.
     */
    static final int RECENT_OUTCOME_COUNT = 20;

    /**
     * Pause after the first failure in the window; each further failure doubles it. A worker that
     * fails quickly appears idle, and without the pause it would attract most of the work.
     */
    static final long INITIAL_PAUSE_MILLIS = 250;

    private static final int RECENT_OUTCOMES_MASK = (1 << RECENT_OUTCOME_COUNT) - 1;
    private static final int MAX_PAUSE_DOUBLINGS = 4;

    /** The health of a worker without known failures. */
    public static final WorkerHealth HEALTHY =
            new WorkerHealth(Phase.HEALTHY, TreePVector.empty(), 0, 0, 0, Optional.empty());

    /** Whether a worker accepts work. */
    public enum Phase {
        /** It accepts work. */
        HEALTHY,
        /** It accepts no work for a short time after a failure. */
        PAUSED,
        /** It accepts no work until a probe is due. */
        QUARANTINED,
        /** It accepts one task, which serves as a probe. */
        PROBE_DUE,
        /** It runs a probe and accepts no other work. */
        PROBING
    }

    /**
     * A failure of a task.
     *
     * @param atMillis when it failed
     * @param subject the job or queue of the task
     */
    public record Failure(long atMillis, String subject) {}

    /** Returns whether work may be placed on the worker. */
    public boolean acceptsWork() {
        return phase == Phase.HEALTHY || phase == Phase.PROBE_DUE;
    }

    /**
     * Returns whether the worker is quarantined: until a probe succeeds, it accepts only probes.
     */
    public boolean isQuarantined() {
        return phase != Phase.HEALTHY && phase != Phase.PAUSED;
    }

    /** Returns whether {@link #advancedTo} would change this health. */
    boolean isPhaseChangeDue(long nowMillis) {
        return (phase == Phase.PAUSED || phase == Phase.QUARANTINED) && nowMillis >= untilMillis;
    }

    /**
     * Returns this health as of {@code nowMillis}: ends a pause that is over, and marks a probe as
     * due once its time has come.
     */
    WorkerHealth advancedTo(long nowMillis) {
        if (!isPhaseChangeDue(nowMillis)) {
            return this;
        }
        return withPhase(phase == Phase.PAUSED ? Phase.HEALTHY : Phase.PROBE_DUE, untilMillis);
    }

    /** Returns this health after {@code task} was placed on the worker. */
    WorkerHealth afterStart(TaskId task) {
        return phase == Phase.PROBE_DUE
                ? new WorkerHealth(
                        Phase.PROBING,
                        failures,
                        recentOutcomes,
                        untilMillis,
                        probeIntervalMillis,
                        Optional.of(task))
                : this;
    }

    /**
     * Returns this health after {@code task} was removed from the worker. If the task was a probe
     * without an outcome, another probe is due.
     */
    WorkerHealth afterRelease(TaskId task) {
        return phase == Phase.PROBING && probe.equals(Optional.of(task))
                ? withPhase(Phase.PROBE_DUE, untilMillis)
                : this;
    }

    /** Returns this health after {@code task} succeeded. */
    WorkerHealth afterSuccess(TaskId task) {
        if (phase == Phase.PROBING) {
            return probe.equals(Optional.of(task)) ? HEALTHY : this;
        }
        return recentOutcomes == 0
                ? this
                : new WorkerHealth(
                        phase,
                        failures,
                        (recentOutcomes << 1) & RECENT_OUTCOMES_MASK,
                        untilMillis,
                        probeIntervalMillis,
                        probe);
    }

    /**
     * Returns this health after {@code task} failed.
     *
     * <p>A job that fails on every worker must not cause quarantines. Failures of a {@code subject}
     * that has not succeeded lately therefore count only once per worker and window.
     */
    WorkerHealth afterFailure(
            TaskId task, String subject, boolean succeededLately, long nowMillis, Tuning tuning) {
        if (phase == Phase.PROBING && probe.equals(Optional.of(task))) {
            return quarantinedUntilProbe(
                    failures,
                    nowMillis,
                    Math.min(MAX_PROBE_INTERVAL_MILLIS, 2 * probeIntervalMillis));
        }
        boolean isCounted =
                succeededLately || failures.stream().noneMatch(f -> f.subject().equals(subject));
        if (isQuarantined() || !isCounted) {
            return this;
        }
        long windowStartMillis = nowMillis - tuning.quarantineWindowMillis();
        PVector<Failure> recentFailures =
                TreePVector.from(
                                failures.stream()
                                        .filter(f -> f.atMillis() > windowStartMillis)
                                        .toList())
                        .plus(new Failure(nowMillis, subject));
        int shiftedOutcomes = ((recentOutcomes << 1) | 1) & RECENT_OUTCOMES_MASK;
        WorkerHealth updated =
                new WorkerHealth(
                        phase,
                        recentFailures,
                        shiftedOutcomes,
                        untilMillis,
                        probeIntervalMillis,
                        probe);
        if (recentFailures.size() >= tuning.quarantineFailures()
                || Integer.bitCount(shiftedOutcomes) > RECENT_OUTCOME_COUNT / 2) {
            return updated.quarantinedUntilProbe(
                    recentFailures, nowMillis, INITIAL_PROBE_INTERVAL_MILLIS);
        }
        long pauseMillis =
                INITIAL_PAUSE_MILLIS << Math.min(recentFailures.size() - 1, MAX_PAUSE_DOUBLINGS);
        return updated.withPhase(Phase.PAUSED, nowMillis + pauseMillis);
    }

    private WorkerHealth quarantinedUntilProbe(
            PVector<Failure> recentFailures, long nowMillis, long intervalMillis) {
        return new WorkerHealth(
                Phase.QUARANTINED,
                recentFailures,
                recentOutcomes,
                nowMillis + intervalMillis,
                intervalMillis,
                Optional.empty());
    }

    private WorkerHealth withPhase(Phase newPhase, long newUntilMillis) {
        return new WorkerHealth(
                newPhase,
                failures,
                recentOutcomes,
                newUntilMillis,
                probeIntervalMillis,
                Optional.empty());
    }
}
