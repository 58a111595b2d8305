package org.jujubefork.entry.workflow;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jujubefork.core.workflow.WorkflowEffect.Note;
import org.jujubefork.entry.telemetry.LogFields;

/**
 * Writes one line of key=value pairs for each decision. The lines are written by a thread of their
 * own from a bounded queue; what does not fit is counted and reported, so that a reader that stands
 * still never holds up a decision.
 */
public final class LogEventWriter implements AutoCloseable {
    /** Lines that may wait. */
    private static final int MAX_QUEUED_LINES = 8_192;

    private final PrintStream output;
    private final Consumer<Note> observer;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final LongAdder droppedCount = new LongAdder();
    private final Thread writer;

    private LogEventWriter(PrintStream output, Consumer<Note> observer) {
        this.output = output;
        this.observer = observer;
        this.writer = Thread.ofPlatform().daemon().name("log").unstarted(this::writeLines);
    }

    /** Starts a log to {@code output}; {@code observer} sees each decision, left out or not. */
    public static LogEventWriter start(PrintStream output, Consumer<Note> observer) {
        LogEventWriter logWriter = new LogEventWriter(output, observer);
        logWriter.writer.start();
        return logWriter;
    }

    /** Writes the line of {@code logEvent}. */
    public void write(Note logEvent) {
        observer.accept(logEvent);
        StringBuilder line = new StringBuilder(160);
        LogFields.append(line, "ts", Long.toString(System.currentTimeMillis()));
        LogFields.append(line, "event", logEvent.event());
        LogFields.append(line, "subject", logEvent.subject());
        List<String> fields = logEvent.detail();
        for (int i = 0; i + 1 < fields.size(); i += 2) {
            LogFields.append(line, fields.get(i), fields.get(i + 1));
        }
        if (!lines.offer(line.toString())) {
            droppedCount.increment();
        }
    }

    private void writeLines() {
        try {
            long reportedCount = 0;
            while (true) {
                StringBuilder block = new StringBuilder(lines.take()).append('\n');
                for (String next = lines.poll(); next != null; next = lines.poll()) {
                    block.append(next).append('\n');
                }
                long total = droppedCount.sum();
                if (total > reportedCount) {
                    block.append("event=log-lines-dropped count=").append(total - reportedCount);
                    block.append('\n');
                    reportedCount = total;
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
