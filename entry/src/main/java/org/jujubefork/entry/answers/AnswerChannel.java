package org.jujubefork.entry.answers;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jujubefork.client.http.ChunkSink;
import org.jujubefork.core.model.AttemptResult;

/**
 * The answer of one request on its way to the caller's connection.
 *
 * <p>A producer writes chunks and finishes; control releases, resets or refuses; one consumer
 * awaits the head and then takes chunks. A short answer is held back until it is released, so that
 * a failed attempt can be repeated without the caller noticing. An answer that outgrows {@link
 * #HOLD_BYTES} is passed on as it arrives, unless it has to be kept whole; the producer then waits
 * for the consumer.
 */
public final class AnswerChannel implements ChunkSink {
    /** Bytes that are held back for a repeat. */
    public static final int HOLD_BYTES = 64 * 1024;

    /** Bytes that wait for the consumer of a streamed answer before the producer has to wait. */
    static final int WINDOW_BYTES = 256 * 1024;

    /**
     * A part of the answer.
     *
     * @param bytes the part
     * @param taken runs when the consumer takes it
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are not copied
    private record Part(byte[] bytes, Runnable taken) {}

    private static void ignore() {}

    private static final Runnable NOTHING = AnswerChannel::ignore;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final ArrayDeque<Part> chunks = new ArrayDeque<>();
    private final boolean keepWhole;
    private final long maxBytes;
    private String contentType = "application/json";
    private long received;
    private long waiting;
    private boolean finished;
    private boolean streaming;
    private boolean broken;
    private boolean abandoned;
    private boolean replayed;
    private Optional<Answer> other = Optional.empty();

    private AnswerChannel(boolean keepWhole, long maxBytes) {
        this.keepWhole = keepWhole;
        this.maxBytes = maxBytes;
    }

    /**
     * Returns a channel.
     *
     * @param keepWhole whether nothing is passed on before the answer is released
     * @param maxBytes the longest answer
     */
    public static AnswerChannel of(boolean keepWhole, long maxBytes) {
        return new AnswerChannel(keepWhole, maxBytes);
    }

    /**
     * Adds a part of the answer; waits while the consumer is behind.
     *
     * @throws IOException if the answer is too long, or nobody wants it any more
     */
    @Override
    public void accept(byte[] chunk) throws IOException {
        lock.lock();
        try {
            if (received + chunk.length > maxBytes) {
                throw new IOException("the answer is longer than " + maxBytes + " bytes");
            }
            add(new Part(chunk, NOTHING));
            while (streaming && waiting > WINDOW_BYTES && !abandoned) {
                changed.awaitUninterruptibly();
            }
            if (abandoned) {
                throw new IOException("the caller no longer wants the answer");
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Adds a part of the answer without waiting. An answer that gets too long breaks off.
     *
     * @param credit runs when the sender may send another part
     */
    public void offer(byte[] chunk, Runnable credit) {
        boolean atOnce;
        lock.lock();
        try {
            if (received + chunk.length > maxBytes) {
                broken = true;
                changed.signalAll();
                return;
            }
            atOnce = keepWhole || waiting <= WINDOW_BYTES;
            add(new Part(chunk, atOnce ? NOTHING : credit));
        } finally {
            lock.unlock();
        }
        if (atOnce) {
            credit.run();
        }
    }

    private void add(Part part) {
        chunks.add(part);
        received += part.bytes().length;
        waiting += part.bytes().length;
        streaming = streaming || (!keepWhole && received > HOLD_BYTES);
        changed.signalAll();
    }

    /** Returns how many bytes of the answer have arrived. */
    public long received() {
        lock.lock();
        try {
            return received;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the whole answer has arrived. */
    public boolean isFinished() {
        lock.lock();
        try {
            return finished;
        } finally {
            lock.unlock();
        }
    }

    /** Marks the answer as complete, in the media type that the worker gave. */
    public void finish(String type) {
        locked(
                () -> {
                    finished = true;
                    contentType = type;
                });
    }

    /** Lets the caller have the finished answer. */
    public void release() {
        locked(() -> streaming = true);
    }

    /**
     * Discards what was received, because the request is tried again. If the caller has been given
     * a part already, the answer is broken instead.
     */
    public void reset() {
        locked(
                () -> {
                    broken = broken || streaming;
                    chunks.clear();
                    received = 0;
                    waiting = 0;
                    finished = false;
                });
    }

    /**
     * Answers with a refusal. If the caller has been given a part of a body already, the answer is
     * broken instead.
     */
    public void refuse(AttemptResult result) {
        conclude(new Answer.Refused(result));
    }

    /** Answers that a job is accepted. */
    public void acceptJob(String job) {
        conclude(new Answer.JobAccepted(job));
    }

    /** Answers that an earlier request is done and that its body was too large to keep. */
    public void replayWithoutBody() {
        conclude(new Answer.BodyNotKept());
    }

    /** Answers with a body that an earlier request recorded. */
    public void replay(byte[] body, String type) {
        locked(
                () -> {
                    chunks.clear();
                    chunks.add(new Part(body, NOTHING));
                    received = body.length;
                    contentType = type;
                    replayed = true;
                    finished = true;
                    streaming = true;
                });
    }

    private void conclude(Answer answer) {
        locked(
                () -> {
                    if (streaming) {
                        broken = true;
                    } else {
                        other = Optional.of(answer);
                    }
                });
    }

    /** Gives the answer up; a producer that waits fails. */
    public void abandon() {
        locked(() -> abandoned = true);
    }

    /** Returns the whole finished answer, for a claim or for another entry. */
    public byte[] content() {
        lock.lock();
        try {
            byte[] all = new byte[(int) received];
            int position = 0;
            for (Part part : chunks) {
                System.arraycopy(part.bytes(), 0, all, position, part.bytes().length);
                position += part.bytes().length;
            }
            return all;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the media type of the finished answer. */
    public String contentType() {
        lock.lock();
        try {
            return contentType;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits for the head of the answer.
     *
     * @return the head, or empty if {@code millis} passed
     */
    public Optional<Answer> await(long millis) throws InterruptedException {
        long left = TimeUnit.MILLISECONDS.toNanos(millis);
        lock.lockInterruptibly();
        try {
            while (other.isEmpty() && !streaming) {
                if (left <= 0) {
                    return Optional.empty();
                }
                left = changed.awaitNanos(left);
            }
            if (other.isPresent()) {
                return other;
            }
            Optional<Long> length = finished ? Optional.of(received) : Optional.empty();
            return Optional.of(new Answer.Body(contentType, length, replayed));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes the next part of the body, waiting for it.
     *
     * @return the part, or empty at the end of the body
     * @throws IOException if the body broke off, or nothing came for {@code millis}
     */
    public Optional<byte[]> next(long millis) throws IOException, InterruptedException {
        Optional<Part> part = take(millis);
        part.ifPresent(p -> p.taken().run());
        return part.map(Part::bytes);
    }

    private Optional<Part> take(long millis) throws IOException, InterruptedException {
        long left = TimeUnit.MILLISECONDS.toNanos(millis);
        lock.lockInterruptibly();
        try {
            while (chunks.isEmpty() && !finished && !broken) {
                if (left <= 0) {
                    throw new IOException("no part of the answer came for " + millis + " ms");
                }
                left = changed.awaitNanos(left);
            }
            if (broken) {
                throw new IOException("the answer broke off");
            }
            Part part = chunks.poll();
            if (part != null) {
                waiting -= part.bytes().length;
                changed.signalAll();
            }
            return Optional.ofNullable(part);
        } finally {
            lock.unlock();
        }
    }

    private void locked(Runnable change) {
        lock.lock();
        try {
            change.run();
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
