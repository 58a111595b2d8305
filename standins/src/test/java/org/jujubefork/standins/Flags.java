package org.jujubefork.standins;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Command line flags of the form {@code --name value}. */
public final class Flags {
    private final Map<String, String> values;

    private Flags(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Parses a command line.
     *
     * @param allowed names of the flags that take a value
     * @param switches names of the flags that take none
     * @throws IllegalArgumentException if a flag is not known or lacks its value
     */
    public static Flags parse(String[] args, Set<String> allowed, Set<String> switches) {
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < args.length; i++) {
            String name = args[i].startsWith("--") ? args[i].substring(2) : "";
            if (switches.contains(name)) {
                values.put(name, "true");
            } else if (allowed.contains(name) && i + 1 < args.length) {
                i++;
                values.put(name, args[i]);
            } else {
                throw new IllegalArgumentException("unknown flag or no value: " + args[i]);
            }
        }
        return new Flags(Map.copyOf(values));
    }

    public Optional<String> text(String name) {
        return Optional.ofNullable(values.get(name));
    }

    public String required(String name) {
        return text(name)
                .orElseThrow(() -> new IllegalArgumentException("flag --" + name + " is missing"));
    }

    public long number(String name, long otherwise) {
        return text(name).map(Long::parseLong).orElse(otherwise);
    }

    public boolean isSet(String name) {
        return values.containsKey(name);
    }
}
