package org.jujubefork.client.api;

import java.util.Optional;

/**
 * One HTTP call of the API.
 *
 * @param method HTTP method
 * @param path path and query, percent-encoded
 * @param body JSON body, empty for none
 * @param contentType media type of the body
 * @param repeatable whether the call may be sent again when an earlier attempt may have taken
 *     effect
 * @param idempotencyKey key under which the work runs at most once, if any
 */
record ApiCall(
        String method,
        String path,
        String body,
        String contentType,
        boolean repeatable,
        Optional<String> idempotencyKey) {
    static ApiCall get(String path) {
        return new ApiCall("GET", path, "", "application/json", true, Optional.empty());
    }

    static ApiCall of(
            String method, String path, String body, boolean repeatable, Optional<String> key) {
        return new ApiCall(
                method, path, body, "application/json", repeatable || key.isPresent(), key);
    }
}
