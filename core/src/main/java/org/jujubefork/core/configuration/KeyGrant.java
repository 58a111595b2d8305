package org.jujubefork.core.configuration;

import java.util.Optional;
import org.jujubefork.core.model.TeamId;

/**
 * An access key that is in force. The key itself is never kept, only its SHA-256 hash.
 *
 * @param id the name by which operators withdraw the key
 * @param hash lower-case hexadecimal SHA-256 of the key
 * @param team the team that the key speaks for; empty for an operator's key
 */
public record KeyGrant(String id, String hash, Optional<TeamId> team) {
    private static final int HASH_LENGTH = 64;

    /** Checks the length of the hash. */
    public KeyGrant {
        if (hash.length() != HASH_LENGTH) {
            throw new IllegalArgumentException(
                    "hash of key " + id + " must have 64 hexadecimal digits: " + hash);
        }
    }

    /** Returns whether this is an operator's key. */
    public boolean isOperator() {
        return team.isEmpty();
    }
}
