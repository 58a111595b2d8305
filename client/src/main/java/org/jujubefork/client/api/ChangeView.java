package org.jujubefork.client.api;

import java.util.Optional;

/**
 * One difference between two versions of the configuration.
 *
 * @param path which value differs
 * @param before the value before, empty if it is new
 * @param after the value after, empty if it was removed
 */
public record ChangeView(String path, Optional<String> before, Optional<String> after) {}
