package org.jujubefork.core.configuration;

import java.util.Optional;
import org.jujubefork.core.model.TeamId;

/**
 * An access key that is in force. The key itself is never stored, only its SHA-256 hash.
 *
 * @param id the name by which operators revoke the key
 * @param hash lower-case hexadecimal SHA-256 of the key
 * @param team the team that the key authenticates; empty for an operator's key
 */
public record KeyGrant(String id, String hash, Optional<TeamId> team) {
    private static final int HASH_LENGTH = 64;

    /** Checks that the hash has the length of a SHA-256 hash. */
    public KeyGrant {
        if (hash.length() != HASH_LENGTH) {
            throw new IllegalArgumentException(
                    "hash of key " + id + " must have 64 hexadecimal digits: " + hash);
        }
    }

    /** Returns whether this key authenticates an operator instead of a team. */
    public boolean isOperator() {
        return team.isEmpty();
    }
}
