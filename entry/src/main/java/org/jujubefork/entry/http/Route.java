package org.jujubefork.entry.http;

import java.util.Optional;
import org.glassfish.grizzly.http.Method;

/**
 * An HTTP method and a path pattern with at most one variable segment.
 *
 * @param method the HTTP method
 * @param prefix the path before the variable segment; ends with a slash if there is one
 * @param suffix the path after the variable segment
 * @param endpoint handles matching requests
 */
public record Route(Method method, String prefix, String suffix, Endpoint endpoint) {
    /** Returns a route for exactly {@code path}. */
    public static Route exact(Method method, String path, Endpoint endpoint) {
        return new Route(method, path, "", endpoint);
    }

    /** Returns a route for {@code prefix}, one non-empty path segment, and {@code suffix}. */
    public static Route withVariable(
            Method method, String prefix, String suffix, Endpoint endpoint) {
        return new Route(method, prefix, suffix, endpoint);
    }

    /**
     * Returns the variable segment of {@code path}: an empty string for an exact match, {@link
     * Optional#empty()} if the path does not match.
     */
    Optional<String> match(String path) {
        if (path.equals(prefix) && suffix.isEmpty()) {
            return Optional.of("");
        }
        boolean hasVariable = prefix.endsWith("/");
        int end = path.length() - suffix.length();
        if (!hasVariable
                || !path.startsWith(prefix)
                || !path.endsWith(suffix)
                || end <= prefix.length()) {
            return Optional.empty();
        }
        String variable = path.substring(prefix.length(), end);
        return variable.contains("/") ? Optional.empty() : Optional.of(variable);
    }
}
