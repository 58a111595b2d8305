package org.jujubefork.entry.http;

import java.util.Optional;
import org.glassfish.grizzly.http.Method;

/**
 * A method and a path with at most one open part.
 *
 * @param method the method
 * @param prefix the path before the open part
 * @param suffix the path after the open part
 * @param endpoint handles matching requests
 */
public record Route(Method method, String prefix, String suffix, Endpoint endpoint) {
    /** Returns a route for exactly {@code path}. */
    public static Route exact(Method method, String path, Endpoint endpoint) {
        return new Route(method, path, "", endpoint);
    }

    /** Returns a route for {@code prefix}, one or more characters, and {@code suffix}. */
    public static Route withVariable(
            Method method, String prefix, String suffix, Endpoint endpoint) {
        return new Route(method, prefix, suffix, endpoint);
    }

    /**
     * Returns the open part of {@code path}, empty text for an exact match, or nothing if the path
     * does not match.
     */
    Optional<String> match(String path) {
        if (path.equals(prefix) && suffix.isEmpty()) {
            return Optional.of("");
        }
        boolean open = prefix.endsWith("/");
        int end = path.length() - suffix.length();
        if (!open || !path.startsWith(prefix) || !path.endsWith(suffix) || end <= prefix.length()) {
            return Optional.empty();
        }
        String variable = path.substring(prefix.length(), end);
        return variable.contains("/") ? Optional.empty() : Optional.of(variable);
    }
}
