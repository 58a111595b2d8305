package org.jujubefork.entry.platform;

import java.util.Optional;
import org.jboss.logging.Logger;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.ClaimEvent;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.TaskEvent;

/**
 * Creates the events that report that the executor of an effect threw a runtime exception. The call
 * may have been sent before the exception, so the events leave open whether it succeeded.
 */
final class EffectFailures {
    private static final Logger log = Logger.getLogger(EffectFailures.class);

    private EffectFailures() {}

    static void logFailure(Effect effect, RuntimeException failure) {
        log.errorf(failure, "event=effect-failure effect=%s", effect.getClass().getSimpleName());
    }

    /** Returns the event for a failed store call, or empty if the reducer expects no event. */
    static Optional<Event> failureEvent(StoreEffect effect, long now) {
        return Optional.ofNullable(
                switch (effect) {
                    case StoreEffect.CreateClaim e ->
                            // The claim may have been written.
                            new ClaimEvent.ClaimFailed(now, e.request(), true);
                    case StoreEffect.ReadClaim e ->
                            // A read writes no claim.
                            new ClaimEvent.ClaimFailed(now, e.request(), false);
                    case StoreEffect.SettleClaim e ->
                            // The change of the claim is not known to be durable.
                            new ClaimEvent.ClaimSettled(now, e.request(), false);
                    case StoreEffect.ReleaseClaim e ->
                            // The removal of the claim is not known to be durable.
                            new ClaimEvent.ClaimSettled(now, e.request(), false);
                    case StoreEffect.WriteJob e ->
                            // The job may have been written; no conflict was reported.
                            new JobEvent.JobWriteFailed(now, e.record().id(), true, false);
                    case StoreEffect.WriteLedger e ->
                            // The ledger may have been written.
                            new LimitEvent.LedgerWriteFailed(now, true);
                    case StoreEffect.DeleteJob e -> null;
                    // The executor retries the read until it succeeds, even after an exception.
                    case StoreEffect.ReadLedger e -> null;
                });
    }

    /** Returns the event for a failed command to a worker. */
    static Event failureEvent(WorkerEffect effect, long now) {
        return switch (effect) {
            case WorkerEffect.AcquireLease e ->
                    new FleetEvent.LeaseFailed(now, e.worker(), e.epoch());
            case WorkerEffect.RenewLease e ->
                    new FleetEvent.LeaseFailed(now, e.worker(), e.epoch());
            case WorkerEffect.StartTask e ->
                    new TaskEvent.StartUnknown(
                            now, e.worker(), e.task().id(), "the executor failed");
            case WorkerEffect.StopTask e -> new TaskEvent.StopFailed(now, e.worker(), e.task());
        };
    }
}
