package org.jujubefork.config.source;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Finds the known name that a misspelled name most likely stands for. */
public final class NearestName {
    private NearestName() {}

    /**
     * Returns the known name with the smallest edit distance to {@code name}, ignoring case; empty
     * if that distance exceeds both 2 and half the length of the known name.
     */
    public static Optional<String> find(String name, Collection<String> known) {
        return known.stream()
                .min(
                        Comparator.<String>comparingInt(candidate -> editDistance(name, candidate))
                                .thenComparing(Comparator.naturalOrder()))
                .filter(best -> editDistance(name, best) <= Math.max(2, best.length() / 2));
    }

    /** Returns the Levenshtein distance of {@code a} and {@code b}, ignoring case. */
    static int editDistance(String a, String b) {
        String from = a.toLowerCase(Locale.ROOT);
        String to = b.toLowerCase(Locale.ROOT);
        int[] previous = new int[to.length() + 1];
        for (int j = 0; j <= to.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= from.length(); i++) {
            int[] current = new int[to.length() + 1];
            current[0] = i;
            for (int j = 1; j <= to.length(); j++) {
                int substitutionCost =
                        previous[j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(substitutionCost, Math.min(previous[j], current[j - 1]) + 1);
            }
            previous = current;
        }
        return previous[to.length()];
    }
}
