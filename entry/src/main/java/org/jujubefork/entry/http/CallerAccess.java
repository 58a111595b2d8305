package org.jujubefork.entry.http;

import java.util.Optional;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.core.configuration.KeyGrant;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.TeamId;

/** Checks whether the access key of a caller permits access to the work of a team. */
final class CallerAccess {
    private CallerAccess() {}

    /**
     * Returns why the caller may not access the work of {@code team}, or {@link RefusalReason#NONE}
     * if it may. Operators may access the work of all teams.
     */
    static RefusalReason check(State state, Optional<String> accessKey, TeamId team) {
        if (!ConfigurationFreshness.isFresh(state)) {
            return RefusalReason.CONFIGURATION_NOT_FRESH;
        }
        if (accessKey.isEmpty()) {
            return RefusalReason.KEY_MISSING;
        }
        Optional<KeyGrant> grant =
                accessKey
                        .map(AccessKeys::hash)
                        .flatMap(h -> state.configuration().flatMap(c -> c.key(h)));
        if (grant.isEmpty()) {
            return RefusalReason.KEY_UNKNOWN;
        }
        boolean authorized =
                grant.get().isOperator() || grant.get().team().equals(Optional.of(team));
        return authorized ? RefusalReason.NONE : RefusalReason.WRONG_TEAM;
    }
}
