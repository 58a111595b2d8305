package org.jujubefork.entry.workflow;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jujubefork.core.workflow.WorkflowEffect.LogEvent;
import org.jujubefork.entry.telemetry.LogFields;

/**
 * Writes one line of key=value pairs for each decision. The lines are written by a thread of their
 * own from a bounded queue; what does not fit is counted and reported, so that a reader that stands
 * still never holds up a decision.
 */
public final class NoteLog implements AutoCloseable {
    /** Lines that may wait. */
    private static final int QUEUE_LINES = 8_192;

    private final PrintStream output;
    private final Consumer<LogEvent> observer;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final LongAdder dropped = new LongAdder();
    private final Thread writer;

    private NoteLog(PrintStream output, Consumer<LogEvent> observer) {
        this.output = output;
        this.observer = observer;
        this.writer = Thread.ofPlatform().daemon().name("log").unstarted(this::run);
    }

    /** Starts a log to {@code output}; {@code observer} sees each decision, left out or not. */
    public static NoteLog to(PrintStream output, Consumer<LogEvent> observer) {
        NoteLog log = new NoteLog(output, observer);
        log.writer.start();
        return log;
    }

    /** Writes the line of {@code note}. */
    public void write(LogEvent note) {
        observer.accept(note);
        StringBuilder line = new StringBuilder(160);
        LogFields.append(line, "ts", Long.toString(System.currentTimeMillis()));
        LogFields.append(line, "event", note.event());
        LogFields.append(line, "subject", note.subject());
        List<String> detail = note.fields();
        for (int i = 0; i + 1 < detail.size(); i += 2) {
            LogFields.append(line, detail.get(i), detail.get(i + 1));
        }
        if (!lines.offer(line.toString())) {
            dropped.increment();
        }
    }

    private void run() {
        try {
            long reported = 0;
            while (true) {
                StringBuilder block = new StringBuilder(lines.take()).append('\n');
                for (String next = lines.poll(); next != null; next = lines.poll()) {
                    block.append(next).append('\n');
                }
                long now = dropped.sum();
                if (now > reported) {
                    block.append("event=log-lines-dropped count=").append(now - reported);
                    block.append('\n');
                    reported = now;
                }
                output.print(block);
                output.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops after the line that is written now. */
    @Override
    public void close() {
        writer.interrupt();
    }
}
