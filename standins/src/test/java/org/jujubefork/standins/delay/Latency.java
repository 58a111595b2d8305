package org.jujubefork.standins.delay;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Latencies of the answered calls of one kind.
 *
 * @param micros microseconds from the planned send to the end
 * @param notAnswered calls that were refused or whose connection failed
 */
record Latency(Histogram micros, long notAnswered) {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;

    /** Sums up the calls of one target. */
    static Latency of(Collection<Call> calls, String target) {
        List<Call> own = calls.stream().filter(c -> c.target().equals(target)).toList();
        Histogram histogram = new Histogram(DIGITS);
        own.stream().filter(Call::isAnswered).forEach(c -> histogram.recordValue(c.micros()));
        return new Latency(histogram, own.size() - histogram.getTotalCount());
    }

    /** Returns a percentile in milliseconds. */
    double millis(double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Returns how many calls were answered. */
    long count() {
        return micros.getTotalCount();
    }

    /** Formats the 50th and 99th percentile. */
    String text() {
        return String.format(Locale.ROOT, "%.2f / %.2f", millis(50), millis(99));
    }
}
