package org.jujubefork.standins.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests at a constant rate, each in its own thread. The seed determines the entry that
 * each request tries first.
 */
public final class LoadGenerator implements AutoCloseable {
    /** Creates the request with a given sequence number, which begins at 0. */
    @FunctionalInterface
    public interface RequestSource {
        Caller.Request request(int number, SplittableRandom random);
    }

    /** How long a caller retries a request that has no final answer. */
    public static final Duration CALLER_TIMEOUT = Duration.ofSeconds(15);

    private static final Duration FINAL_ANSWER_TIMEOUT = Duration.ofSeconds(60);

    private final TestCell cell;
    private final Caller caller;
    private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private final Thread pacer;
    private volatile boolean stopped;

    private LoadGenerator(
            TestCell cell, Caller caller, int requestsPerSecond, long seed, RequestSource source) {
        this.cell = cell;
        this.caller = caller;
        this.pacer = Thread.ofVirtual().unstarted(() -> run(requestsPerSecond, seed, source));
    }

    /** Starts sending requests, which are retried for up to {@link #CALLER_TIMEOUT}. */
    public static LoadGenerator start(
            TestCell cell, int requestsPerSecond, long seed, RequestSource source) {
        return start(cell, Caller.of(CALLER_TIMEOUT), requestsPerSecond, seed, source);
    }

    public static LoadGenerator start(
            TestCell cell, Caller caller, int requestsPerSecond, long seed, RequestSource source) {
        LoadGenerator generator = new LoadGenerator(cell, caller, requestsPerSecond, seed, source);
        generator.pacer.start();
        return generator;
    }

    private void run(int requestsPerSecond, long seed, RequestSource source) {
        SplittableRandom random = new SplittableRandom(seed);
        long pauseMillis = Math.max(1, TimeUnit.SECONDS.toMillis(1) / requestsPerSecond);
        try {
            for (int number = 0; !stopped; number++) {
                Caller.Request request = source.request(number, random);
                List<String> addresses =
                        cell.addressesStartingAt(random.nextInt(cell.entries().size()));
                threads.add(Thread.ofVirtual().start(() -> send(request, addresses)));
                Thread.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Caller.Request request, List<String> addresses) {
        try {
            records.add(caller.call(request, addresses));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the number of connections that were lost after a request was sent and before its
     * answer was complete.
     */
    public long brokenConnections() {
        return caller.brokenConnections();
    }

    /** Returns the results of the requests that have ended so far. */
    public List<CallRecord> records() {
        return List.copyOf(records);
    }

    /**
     * Stops sending and waits until all requests have ended.
     *
     * @throws AssertionError if a request has not ended after 60 s
     */
    public List<CallRecord> stop() throws InterruptedException {
        stopped = true;
        pacer.join();
        for (Thread thread : threads) {
            if (!thread.join(FINAL_ANSWER_TIMEOUT)) {
                throw new AssertionError(
                        "a request has no final answer after " + FINAL_ANSWER_TIMEOUT);
            }
        }
        return records();
    }

    @Override
    public void close() throws InterruptedException {
        stop();
    }
}
