package org.jujubefork.client.api;

import java.util.Optional;

/**
 * One difference between two versions of the configuration.
 *
 * @param path JSON path of the value that differs
 * @param before previous value, empty if it was added
 * @param after new value, empty if it was removed
 */
public record ChangeView(String path, Optional<String> before, Optional<String> after) {}
