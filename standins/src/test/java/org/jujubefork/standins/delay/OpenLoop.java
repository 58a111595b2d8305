package org.jujubefork.standins.delay;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends requests at times that are fixed in advance, each on a thread of its own. The latency of a
 * call counts from its planned time, so that a slow response does not hide the wait of later calls.
 */
final class OpenLoop {
    private static final Duration LAST_ANSWER = Duration.ofSeconds(30);
    private static final long START_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Pause after a block, in which its last calls end. */
    private static final double GAP_SECONDS = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * A planned call.
     *
     * @param atNanos time after the start of the schedule
     */
    record Send(long atNanos, Target target, String id) {}

    /** Sends to each target at the same rate at the same time, evenly staggered. */
    static List<Send> staggered(String label, List<Target> targets, double rate, int rounds) {
        List<Send> sends = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            for (int t = 0; t < targets.size(); t++) {
                double at = (round + (double) t / targets.size()) / rate;
                sends.add(send(at, targets.get(t), label + "-" + sends.size()));
            }
        }
        return sends;
    }

    /**
     * Sends to one target after the other in blocks. Each round begins with another target, so that
     * none of them always follows the same one.
     */
    static List<Send> blocks(
            String label, List<Target> targets, double rate, double blockSeconds, int rounds) {
        List<Send> sends = new ArrayList<>();
        double begin = 0;
        for (int round = 0; round < rounds; round++) {
            for (int t = 0; t < targets.size(); t++) {
                Target target = targets.get((round + t) % targets.size());
                for (int i = 0; i < blockSeconds * rate; i++) {
                    sends.add(send(begin + i / rate, target, label + "-" + sends.size()));
                }
                begin += blockSeconds + GAP_SECONDS;
            }
        }
        return sends;
    }

    /** Sends to several targets, each at its own rate. */
    static List<Send> mixed(String label, List<Target> targets, List<Double> rates, double time) {
        List<Send> sends = new ArrayList<>();
        for (int t = 0; t < targets.size(); t++) {
            for (int i = 0; i < time * rates.get(t); i++) {
                // The offset keeps the targets from sending at the same instants.
                double at = (i + (double) t / targets.size()) / rates.get(t);
                sends.add(send(at, targets.get(t), label + "-" + sends.size()));
            }
        }
        sends.sort(Comparator.comparingLong(Send::atNanos));
        return sends;
    }

    private static Send send(double atSeconds, Target target, String id) {
        return new Send((long) (atSeconds * NANOS_PER_SECOND), target, id);
    }

    /**
     * Sends a schedule and waits for all responses.
     *
     * @throws AssertionError if a call has none 30 s after the last send
     */
    List<Call> run(List<Send> sends) throws InterruptedException {
        Queue<Call> calls = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>(sends.size());
        long start = System.nanoTime() + START_NANOS;
        for (Send send : sends) {
            long planned = start + send.atNanos();
            for (long left = planned - System.nanoTime(); left > 0; ) {
                LockSupport.parkNanos(left);
                left = planned - System.nanoTime();
            }
            threads.add(Thread.startVirtualThread(() -> calls.add(call(send, planned))));
        }
        for (Thread thread : threads) {
            if (!thread.join(LAST_ANSWER)) {
                throw new AssertionError("a call has no response after " + LAST_ANSWER);
            }
        }
        return List.copyOf(calls);
    }

    private Call call(Send send, long planned) {
        int status = 0;
        try {
            send.target().connections().acquire();
            try {
                status =
                        http.send(
                                        send.target().requests().request(send.id()),
                                        HttpResponse.BodyHandlers.ofByteArray())
                                .statusCode();
            } finally {
                send.target().connections().release();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            status = 0;
        }
        return new Call(send.target().name(), send.id(), planned, System.nanoTime(), status);
    }
}
