package org.jujubefork.standins.cell;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.JobRequest;
import org.jujubefork.client.api.JobView;
import org.jujubefork.client.api.NotReachableException;

/**
 * Sends the recorded requests and jobs of an example at their recorded times, spread over all
 * entries.
 */
final class Replay {
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration FINAL_ANSWER_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration JOB_COMPLETION_TIMEOUT = Duration.ofSeconds(120);

    private final TestCell cell;
    private final ExampleCell example;
    private final Caller caller = Caller.of(CALLER_TIMEOUT);
    private final Queue<CallRecord> calls = new ConcurrentLinkedQueue<>();
    private final Map<String, Job> jobs = new ConcurrentHashMap<>();
    private final Queue<String> refusedJobs = new ConcurrentLinkedQueue<>();

    Replay(TestCell cell, ExampleCell example) {
        this.cell = cell;
        this.example = example;
    }

    /**
     * A job that an entry accepted.
     *
     * @param acceptedNanos monotonic time at which the caller received the acceptance
     * @param state last known state
     */
    record Job(String id, String team, String queue, long acceptedNanos, JobView.State state) {
        Job withState(JobView.State newState) {
            return new Job(id, team, queue, acceptedNanos, newState);
        }
    }

    List<CallRecord> calls() {
        return List.copyOf(calls);
    }

    List<Job> jobs() {
        return List.copyOf(jobs.values());
    }

    List<String> jobErrors() {
        return List.copyOf(refusedJobs);
    }

    /**
     * Sends all recorded lines, then waits for the answers and for the completion of the jobs.
     * Services run until they are cancelled, which happens after the last answer.
     *
     * @param speed factor by which the recorded times are shortened
     * @param atHalfway action that runs after half of the lines were sent
     * @throws AssertionError if a request has no final answer after a wait of 60 s
     */
    void run(double speed, Runnable atHalfway) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < example.recordedRequests().size(); i++) {
            JsonNode line = example.recordedRequests().get(i);
            if (i == example.recordedRequests().size() / 2) {
                atHalfway.run();
            }
            long sendAtMillis = (long) (line.path("atMillis").asLong() / speed);
            long waitMillis =
                    sendAtMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            if (waitMillis > 0) {
                Thread.sleep(waitMillis);
            }
            int number = i;
            threads.add(Thread.ofVirtual().start(() -> send(line, number)));
        }
        for (Thread thread : threads) {
            if (!thread.join(FINAL_ANSWER_TIMEOUT)) {
                throw new AssertionError(
                        "a request has no final answer after " + FINAL_ANSWER_TIMEOUT);
            }
        }
        awaitJobs();
    }

    private void send(JsonNode line, int number) {
        try {
            if (line.path("type").asText().equals("job")) {
                submit(line, number);
                return;
            }
            boolean command = line.has("idempotencyKey");
            JsonNode body = line.path("body");
            String id =
                    command
                            ? line.path("idempotencyKey").asText()
                            : body.path("echo").asText() + "-" + number;
            calls.add(
                    caller.call(
                            new Caller.Request(
                                    id,
                                    line.path("queue").asText(),
                                    command,
                                    cell.plan().key(line.path("team").asText()),
                                    body.path("runMillis").asLong(),
                                    body.path("answerBytes").asInt()),
                            cell.addressesStartingAt(number % cell.entries().size())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void submit(JsonNode line, int number) throws InterruptedException {
        String team = line.path("team").asText();
        String queue = line.path("queue").asText();
        try (ApiClient client = cell.client(number, cell.plan().key(team))) {
            JobView job =
                    client.submit(
                            new JobRequest(
                                    queue,
                                    line.path("body").path("echo").asText(),
                                    line.path("tasks").asInt(1),
                                    Optional.empty(),
                                    line.path("body").toString(),
                                    Optional.of(line.path("idempotencyKey").asText())));
            jobs.put(job.id(), new Job(job.id(), team, queue, System.nanoTime(), job.state()));
        } catch (ApiException | NotReachableException | InvalidMessageException e) {
            refusedJobs.add(queue + ": " + e.getMessage());
        }
    }

    private void awaitJobs() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + JOB_COMPLETION_TIMEOUT.toNanos();
        for (Job job : jobs()) {
            try (ApiClient client = cell.client(0, cell.plan().key(job.team()))) {
                boolean service = example.kindsByQueue().get(job.queue()).equals("service");
                Duration remaining =
                        Duration.ofNanos(Math.max(1_000_000, deadlineNanos - System.nanoTime()));
                JobView finalView =
                        service ? client.cancel(job.id()) : client.await(job.id(), remaining);
                jobs.put(job.id(), job.withState(finalView.state()));
            } catch (ApiException | NotReachableException | InvalidMessageException e) {
                refusedJobs.add(
                        "could not get the state of job " + job.id() + ": " + e.getMessage());
            }
        }
    }
}
