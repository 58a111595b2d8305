package org.jujubefork.client.api;

import java.util.Optional;

/**
 * One call of the API.
 *
 * @param method the HTTP method
 * @param path path and query
 * @param body the body, empty for none
 * @param contentType the media type of the body
 * @param repeatable whether the call may be sent again after it may have taken effect
 * @param idempotencyKey the key under which the work runs at most once
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
