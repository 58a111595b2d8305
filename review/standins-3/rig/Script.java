package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What the scripts have in common: a small deployment of 8 daemons and 33 workers, and the exit code. */
abstract class Script {
    static final int DAEMONS = 8;
    static final int WORKERS = 33;
    static final String ROOM = "{\"cpu\":32000,\"mem_mb\":131072,\"gpu\":0}";

    final Cell cell;
    final Record record;
    final List<Worker> workers = new ArrayList<>();

    Script(Cell cell, Record record) {
        this.cell = cell;
        this.record = record;
    }

    /** Makes a script. */
    @FunctionalInterface
    interface Factory {
        Script create(Cell cell, Record record);
    }

    /** Returns whether the rule was broken. */
    abstract boolean play(boolean trouble) throws Exception;

    static void run(String[] arguments, Factory factory) {
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[1]));
                Cell cell = new Cell(Path.of(arguments[0]), DAEMONS)) {
            Script script = factory.create(cell, record);
            try {
                exit = script.play(!"0".equals(System.getenv("TROUBLE"))) ? 1 : 0;
            } finally {
                script.workers.forEach(Worker::close);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    /** Writes a configuration with one route of one service, and starts workers and daemons. */
    void start(Worker.Listener listener, int attempts) throws Exception {
        cell.store.put(
                "op/config",
                "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"" + Cell.HOST + "\",\"prefix\":\"/q/\","
                        + "\"service\":\"svc\",\"timeout_ms\":3000,\"target_latency_ms\":3000,\"priority\":2,"
                        + "\"attempts\":" + attempts + ",\"stretch\":4.0}],"
                        + "\"services\":[{\"name\":\"svc\",\"enforces_capacity\":false}],"
                        + "\"limits\":{\"max_body_bytes\":262144},"
                        + "\"tenants\":[" + tenant("t", Cell.KEY) + "," + tenant("u", Cell.OTHER_KEY) + "]}");
        for (int i = 0; i < WORKERS; i++) {
            workers.add(worker(i, listener));
        }
        cell.startAll();
        Thread.sleep(3_000);
    }

    private static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"weight\":50,"
                + "\"cap\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}";
    }

    private Worker worker(int i, Worker.Listener listener) throws IOException {
        return new Worker(
                "w-" + i,
                "svc",
                "z" + (1 + i % 3),
                "r" + (1 + i % 3) + "-" + i / 24,
                i % 2 == 0 ? "a" : "b",
                ROOM,
                cell.store,
                listener);
    }

    static String id(int number) {
        return "%016x".formatted(0x5c0e7a21d94b0000L + number);
    }

    /** Submits a job; asks again at another daemon after an answer that allows it. Returns the last status. */
    int submit(int number, String body) throws InterruptedException {
        return submit(number, body, Cell.KEY);
    }

    int submit(int number, String body, String key) throws InterruptedException {
        int status = 0;
        for (int attempt = 0; attempt < 5; attempt++) {
            Cell.Daemon daemon = cell.daemons.get((number + attempt) % DAEMONS);
            status = cell.call(daemon, "POST", "/q/" + id(number), body, key, 3_000).status();
            record.line("POST %s at %s: %d", id(number), daemon.name, status);
            if (status == 200) {
                return status;
            }
            Thread.sleep(300);
        }
        return status;
    }

    /** Copies the log lines of all daemons with {@code event} into the record. */
    void copyLogs(String event) throws IOException {
        for (String line : cell.logLines("event=" + event + " ")) {
            record.line("log of %s", line);
        }
    }
}
