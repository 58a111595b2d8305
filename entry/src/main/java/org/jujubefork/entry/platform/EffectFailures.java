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
 * The events that end effects whose executor failed at an unknown point. Each event allows for a
 * command that has taken effect.
 */
final class EffectFailures {
    private static final Logger log = Logger.getLogger(EffectFailures.class);

    private EffectFailures() {}

    static void logFailure(Effect effect, RuntimeException failure) {
        log.errorf(failure, "event=effect-failure effect=%s", effect.getClass().getSimpleName());
    }

    /** Returns the event for a failed call to the store; empty if nothing waits for the effect. */
    static Optional<Event> failureEvent(StoreEffect effect, long now) {
        return Optional.ofNullable(
                switch (effect) {
                    case StoreEffect.CreateClaim e ->
                            new ClaimEvent.ClaimFailed(now, e.request(), true);
                    case StoreEffect.ReadClaim e ->
                            new ClaimEvent.ClaimFailed(now, e.request(), false);
                    case StoreEffect.SettleClaim e ->
                            new ClaimEvent.ClaimSettled(now, e.request(), false);
                    case StoreEffect.ReleaseClaim e ->
                            new ClaimEvent.ClaimSettled(now, e.request(), false);
                    case StoreEffect.WriteJob e ->
                            new JobEvent.JobWriteFailed(now, e.record().id(), true, false);
                    case StoreEffect.WriteLedger e -> new LimitEvent.LedgerWriteFailed(now, true);
                    case StoreEffect.DeleteJob e -> null;
                    // Reading goes on until it succeeds, also after a runtime exception.
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
