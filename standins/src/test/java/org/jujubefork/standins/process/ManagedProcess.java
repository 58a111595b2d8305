package org.jujubefork.standins.process;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A JVM process that this JVM started. Closing kills it and waits for its exit. A shutdown hook
 * kills processes that are still alive when this JVM exits.
 */
public final class ManagedProcess implements AutoCloseable {
    private static final Set<ManagedProcess> ALIVE = ConcurrentHashMap.newKeySet();
    private static final int MAX_OUTPUT_LINES = 10_000;

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> ALIVE.forEach(p -> p.process.destroyForcibly())));
    }

    private final String name;
    private final Process process;
    // Guards itself and outputEnded.
    private final List<String> lines = new ArrayList<>();
    private boolean outputEnded;

    private ManagedProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    /**
     * The command of a JVM process.
     *
     * @param mainClass qualified name of the main class
     * @param classPath class path; empty to use that of this JVM
     * @param maxHeapMb heap limit in MiB
     * @param jvmFlags additional JVM flags
     * @param arguments arguments of the main class
     */
    public record Spec(
            String mainClass,
            String classPath,
            int maxHeapMb,
            List<String> jvmFlags,
            List<String> arguments) {
        public static Spec of(Class<?> mainClass, int maxHeapMb, String... arguments) {
            return new Spec(mainClass.getName(), "", maxHeapMb, List.of(), List.of(arguments));
        }
    }

    /** Starts a JVM and records the lines of its standard output and error. */
    public static ManagedProcess start(Spec spec) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + spec.maxHeapMb() + "m");
        command.add("-XX:+UseSerialGC");
        command.addAll(spec.jvmFlags());
        command.add("-cp");
        command.add(spec.classPath().isEmpty() ? currentClassPath() : spec.classPath());
        command.add(spec.mainClass());
        command.addAll(spec.arguments());
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        ManagedProcess result = new ManagedProcess(spec.mainClass(), process);
        ALIVE.add(result);
        Thread.ofVirtual().name("output-" + process.pid()).start(result::readOutput);
        return result;
    }

    /**
     * Returns the class path of this JVM. Surefire may start the JVM with a manifest-only jar and
     * then stores the real class path in its own system property.
     */
    private static String currentClassPath() {
        String surefire = System.getProperty("surefire.test.class.path");
        return surefire != null ? surefire : System.getProperty("java.class.path");
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the recorded lines; of a long output, the middle part is missing. */
    public List<String> output() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    /**
     * Waits for a line of output with a given prefix.
     *
     * @return the first line that starts with {@code prefix}
     * @throws IOException if the process closes its output without such a line
     * @throws TimeoutException if no such line appears within {@code limit}
     */
    public String awaitLine(String prefix, Duration limit)
            throws IOException, InterruptedException, TimeoutException {
        long deadlineNanos = System.nanoTime() + limit.toNanos();
        synchronized (lines) {
            while (true) {
                for (String line : lines) {
                    if (line.startsWith(prefix)) {
                        return line;
                    }
                }
                if (outputEnded) {
                    throw new IOException(
                            name + " closed its output without '" + prefix + "': " + lines);
                }
                long remainingMillis =
                        TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()) + 1;
                if (remainingMillis <= 1) {
                    throw new TimeoutException(
                            name + " printed no '" + prefix + "' within " + limit + ": " + lines);
                }
                lines.wait(remainingMillis);
            }
        }
    }

    /** Waits for the ready line of a simulated service and returns the port in it. */
    public int awaitPort(Duration limit)
            throws IOException, InterruptedException, TimeoutException {
        String line = awaitLine("ready ", limit);
        return Integer.parseInt(line.substring(line.indexOf("port=") + "port=".length()));
    }

    /** Kills the process (SIGKILL) and waits for its exit. */
    public void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
        ALIVE.remove(this);
    }

    /** Pauses the process (SIGSTOP). */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Resumes a paused process (SIGCONT). */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /**
     * Asks the process to stop (SIGTERM) and waits for its exit.
     *
     * @return the exit code
     * @throws TimeoutException if the process is still alive after {@code limit}
     */
    public int terminate(Duration limit) throws InterruptedException, TimeoutException {
        process.destroy();
        if (!process.waitFor(limit.toNanos(), TimeUnit.NANOSECONDS)) {
            throw new TimeoutException(name + " did not exit within " + limit + " of SIGTERM");
        }
        ALIVE.remove(this);
        return process.exitValue();
    }

    /**
     * Waits for the process to exit without a signal; returns whether it did so within {@code
     * limit}.
     */
    public boolean awaitExit(Duration limit) throws InterruptedException {
        return process.waitFor(limit.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        boolean interrupted = false;
        while (process.isAlive()) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        ALIVE.remove(this);
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a signal for which {@link Process} has no method. */
    private void signal(String signal) throws IOException, InterruptedException {
        if (!process.isAlive()) {
            throw new IOException(name + " has exited; no " + signal + " sent");
        }
        Process kill =
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectInput(new File("/dev/null"))
                        .start();
        int code = kill.waitFor();
        if (code != 0) {
            throw new IOException(
                    "kill -" + signal + " " + process.pid() + " exited with code " + code);
        }
    }

    private void readOutput() {
        try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                synchronized (lines) {
                    // Drops the middle line: the first lines contain the ready line, the last
                    // ones the failure.
                    if (lines.size() == MAX_OUTPUT_LINES) {
                        lines.remove(MAX_OUTPUT_LINES / 2);
                    }
                    lines.add(line);
                    lines.notifyAll();
                }
            }
        } catch (IOException e) {
            // The process was killed during a read.
        } finally {
            synchronized (lines) {
                outputEnded = true;
                lines.notifyAll();
            }
        }
    }
}
