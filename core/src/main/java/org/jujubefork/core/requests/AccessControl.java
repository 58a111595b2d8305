package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.KeyGrant;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.control.State;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.WorkKind;

/** Decides whether requests and jobs of a caller are accepted. */
public final class AccessControl {
    private AccessControl() {}

    /** Returns why the request is rejected, or {@link RefusalReason#NONE}. */
    static RefusalReason check(State state, RequestEvent.RequestArrived event) {
        if (state.draining()) {
            return RefusalReason.DRAINING;
        }
        Optional<Configuration> configuration = state.configuration();
        if (configuration.isEmpty()) {
            return RefusalReason.NO_CONFIGURATION;
        }
        Optional<Queue> queue = configuration.get().queue(event.queue());
        if (queue.isEmpty()) {
            return RefusalReason.QUEUE_UNKNOWN;
        }
        RefusalReason key = checkKey(state, queue.get(), event.keyHash());
        if (key != RefusalReason.NONE) {
            return key;
        }
        if (!queue.get().kind().isRequest()) {
            return RefusalReason.WRONG_KIND;
        }
        return queue.get().kind() == WorkKind.COMMAND && event.idempotencyKey().isEmpty()
                ? RefusalReason.IDEMPOTENCY_KEY_MISSING
                : RefusalReason.NONE;
    }

    /**
     * Returns why a caller with the given key may not use {@code queue}, or {@link
     * RefusalReason#NONE}. A key is needed only for queues that are not open.
     */
    public static RefusalReason checkKey(State state, Queue queue, Optional<String> keyHash) {
        if (queue.open()) {
            return RefusalReason.NONE;
        }
        if (!ConfigurationFreshness.isFresh(state)) {
            return RefusalReason.CONFIGURATION_NOT_FRESH;
        }
        if (keyHash.isEmpty()) {
            return RefusalReason.KEY_MISSING;
        }
        Optional<KeyGrant> grant = state.configuration().orElseThrow().key(keyHash.get());
        if (grant.isEmpty()) {
            return RefusalReason.KEY_UNKNOWN;
        }
        return grant.get().team().equals(Optional.of(queue.team()))
                ? RefusalReason.NONE
                : RefusalReason.WRONG_TEAM;
    }

    /**
     * Returns the answer to a request that was rejected, with a retry-after time for temporary
     * conditions.
     */
    static AttemptResult refusal(RefusalReason reason) {
        return switch (reason) {
            case DRAINING, NO_CONFIGURATION, CONFIGURATION_NOT_FRESH, NO_SHARD ->
                    AttemptResult.notRun(reason, Requests.RETRY_AFTER_MILLIS);
            default -> AttemptResult.notRun(reason);
        };
    }
}
