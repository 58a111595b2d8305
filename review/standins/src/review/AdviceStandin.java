package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import review.HttpStandin.Answer;
import review.HttpStandin.Request;

/**
 * The advice service. It has one address for each calling machine, whose calls it answers one
 * after the other. A ticket is valid for all tasks of its step on its worker.
 */
final class AdviceStandin implements AutoCloseable {
    /** How long a call takes, and how long a ticket is valid. */
    record Timing(double decideMillis, double eachMillis, long validMillis) {}

    /** Called when a call arrives and when it is answered. */
    interface Listener {
        void called(int machine, String step, List<String> workers);

        void answered(int machine, String step, List<String> good);
    }

    private final Timing timing;
    private final Record record;
    private final Map<String, Set<String>> goodByJob = new ConcurrentHashMap<>();
    private final Map<String, Long> ticketEnds = new ConcurrentHashMap<>();
    private final List<HttpStandin> servers = new ArrayList<>();
    private volatile Listener listener;

    AdviceStandin(Timing timing, Record record) {
        this.timing = timing;
        this.record = record;
    }

    void setListener(Listener other) {
        listener = other;
    }

    /** The policy allows only {@code workers} to run the steps of {@code job}. */
    void allowOnly(String job, Set<String> workers) {
        goodByJob.put(job, Set.copyOf(workers));
    }

    /** Returns the address of the service for one machine. */
    String addressFor(int machine) throws IOException {
        ReentrantLock turn = new ReentrantLock(true);
        HttpStandin server = new HttpStandin(request -> advise(machine, turn, request));
        servers.add(server);
        return server.address();
    }

    private Answer advise(int machine, ReentrantLock turn, Request request)
            throws InterruptedException {
        String step = request.body().path("step").asText();
        List<String> workers = new ArrayList<>();
        for (JsonNode worker : request.body().path("workers")) {
            workers.add(worker.asText());
        }
        Listener current = listener;
        if (current != null) {
            current.called(machine, step, workers);
        }
        turn.lock();
        try {
            Thread.sleep(
                    Math.round(timing.decideMillis() + timing.eachMillis() * workers.size()));
        } finally {
            turn.unlock();
        }
        Set<String> allowed = goodByJob.get(step.substring(0, 16));
        List<String> good =
                workers.stream().filter(w -> allowed == null || allowed.contains(w)).toList();
        Answer answer = Answer.of(200);
        ArrayNode rows = answer.body().putArray("good");
        long until = System.nanoTime() / 1_000_000 + timing.validMillis();
        for (String worker : good) {
            String ticket = step + "/" + worker;
            ticketEnds.put(ticket, until);
            rows.addArray().add(worker).add(ticket);
        }
        record.add("advice: entry %d asked for %s about %s, good %s", machine, step, workers, good);
        if (current != null) {
            current.answered(machine, step, good);
        }
        return answer;
    }

    boolean isValid(String ticket, String task, String worker) {
        if (timing == null) {
            return ticket.isEmpty();
        }
        String step = task.substring(0, task.lastIndexOf('.'));
        return ticket.equals(step + "/" + worker)
                && ticketEnds.getOrDefault(ticket, 0L) >= System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        servers.forEach(HttpStandin::close);
    }
}
