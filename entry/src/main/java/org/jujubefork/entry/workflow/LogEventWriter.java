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
 * Writes each log event as a line of key=value pairs. A dedicated thread writes the lines from a
 * bounded queue. If the queue is full, lines are dropped and their number is logged, so a blocked
 * output never delays the control thread.
 */
public final class LogEventWriter implements AutoCloseable {
    /** Maximum number of queued lines; further lines are dropped. */
    private static final int MAX_QUEUED_LINES = 8_192;

    private final PrintStream output;
    private final Consumer<LogEvent> observer;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final LongAdder droppedCount = new LongAdder();
    private final Thread writer;

    private LogEventWriter(PrintStream output, Consumer<LogEvent> observer) {
        this.output = output;
        this.observer = observer;
        this.writer = Thread.ofPlatform().daemon().name("log").unstarted(this::writeLines);
    }

    /**
     * Starts a writer to {@code output}.
     *
     * @param observer receives each log event, including those whose lines are dropped
     */
    public static LogEventWriter start(PrintStream output, Consumer<LogEvent> observer) {
        LogEventWriter logWriter = new LogEventWriter(output, observer);
        logWriter.writer.start();
        return logWriter;
    }

    /** Passes {@code logEvent} to the observer and queues its line, without waiting. */
    public void write(LogEvent logEvent) {
        observer.accept(logEvent);
        StringBuilder line = new StringBuilder(160);
        LogFields.append(line, "ts", Long.toString(System.currentTimeMillis()));
        LogFields.append(line, "event", logEvent.event());
        LogFields.append(line, "subject", logEvent.subject());
        List<String> fields = logEvent.fields();
        for (int i = 0; i + 1 < fields.size(); i += 2) {
            LogFields.append(line, fields.get(i), fields.get(i + 1));
        }
        if (!lines.offer(line.toString())) {
            droppedCount.increment();
        }
    }

    private void writeLines() {
        try {
            long loggedDroppedCount = 0;
            while (true) {
                StringBuilder batch = new StringBuilder(lines.take()).append('\n');
                for (String line = lines.poll(); line != null; line = lines.poll()) {
                    batch.append(line).append('\n');
                }
                long totalDroppedCount = droppedCount.sum();
                if (totalDroppedCount > loggedDroppedCount) {
                    batch.append("event=log-lines-dropped count=")
                            .append(totalDroppedCount - loggedDroppedCount);
                    batch.append('\n');
                    loggedDroppedCount = totalDroppedCount;
                }
                output.print(batch);
                output.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops the writer thread. Lines that are still queued are not written. */
    @Override
    public void close() {
        writer.interrupt();
    }
}
