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
 * #MAX_RETRY_BUFFER_BYTES} is passed on as it arrives, unless it has to be kept whole; the producer
 * then waits for the consumer.
 */
public final class AnswerChannel implements ChunkSink {
    /** Bytes that are held back for a repeat. */
    public static final int MAX_RETRY_BUFFER_BYTES = 64 * 1024;

    /** Bytes that wait for the consumer of a streamed answer before the producer has to wait. */
    static final int WINDOW_BYTES = 256 * 1024;

    /**
     * A part of the answer.
     *
     * @param bytes the part
     * @param onTaken runs when the consumer takes it
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are not copied
    private record Chunk(byte[] bytes, Runnable onTaken) {}

    private static void doNothing() {}

    private static final Runnable NO_ACTION = AnswerChannel::doNothing;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
    private final boolean bufferWhole;
    private final long maxBytes;
    private String contentType = "application/json";
    private long receivedBytes;
    private long queuedBytes;
    private boolean finished;
    private boolean streaming;
    private boolean failed;
    private boolean abandoned;
    private boolean replayed;
    private Optional<Answer> bodilessAnswer = Optional.empty();

    private AnswerChannel(boolean keepWhole, long maxBytes) {
        this.bufferWhole = keepWhole;
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
    public void chunk(byte[] chunk) throws IOException {
        lock.lock();
        try {
            if (receivedBytes + chunk.length > maxBytes) {
                throw new IOException("the answer is longer than " + maxBytes + " bytes");
            }
            enqueue(new Chunk(chunk, NO_ACTION));
            while (streaming && queuedBytes > WINDOW_BYTES && !abandoned) {
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
            if (receivedBytes + chunk.length > maxBytes) {
                failed = true;
                changed.signalAll();
                return;
            }
            atOnce = bufferWhole || queuedBytes <= WINDOW_BYTES;
            enqueue(new Chunk(chunk, atOnce ? NO_ACTION : credit));
        } finally {
            lock.unlock();
        }
        if (atOnce) {
            credit.run();
        }
    }

    private void enqueue(Chunk part) {
        chunks.add(part);
        receivedBytes += part.bytes().length;
        queuedBytes += part.bytes().length;
        streaming = streaming || (!bufferWhole && receivedBytes > MAX_RETRY_BUFFER_BYTES);
        changed.signalAll();
    }

    /** Returns how many bytes of the answer have arrived. */
    public long receivedBytes() {
        lock.lock();
        try {
            return receivedBytes;
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
        withLock(
                () -> {
                    finished = true;
                    contentType = type;
                });
    }

    /** Lets the caller have the finished answer. */
    public void release() {
        withLock(() -> streaming = true);
    }

    /**
     * Discards what was received, because the request is tried again. If the caller has been given
     * a part already, the answer is broken instead.
     */
    public void reset() {
        withLock(
                () -> {
                    failed = failed || streaming;
                    chunks.clear();
                    receivedBytes = 0;
                    queuedBytes = 0;
                    finished = false;
                });
    }

    /**
     * Answers with a refusal. If the caller has been given a part of a body already, the answer is
     * broken instead.
     */
    public void refuse(AttemptResult result) {
        answerWithoutBody(new Answer.Refused(result));
    }

    /** Answers that a job is accepted. */
    public void acceptJob(String job) {
        answerWithoutBody(new Answer.JobAccepted(job));
    }

    /** Answers that an earlier request is done and that its body was too large to keep. */
    public void answerBodyNotStored() {
        answerWithoutBody(new Answer.BodyNotStored());
    }

    /** Answers with a body that an earlier request recorded. */
    public void replay(byte[] body, String type) {
        withLock(
                () -> {
                    chunks.clear();
                    chunks.add(new Chunk(body, NO_ACTION));
                    receivedBytes = body.length;
                    contentType = type;
                    replayed = true;
                    finished = true;
                    streaming = true;
                });
    }

    private void answerWithoutBody(Answer answer) {
        withLock(
                () -> {
                    if (streaming) {
                        failed = true;
                    } else {
                        bodilessAnswer = Optional.of(answer);
                    }
                });
    }

    /** Gives the answer up; a producer that waits fails. */
    public void abandon() {
        withLock(() -> abandoned = true);
    }

    /** Returns the whole finished answer, for a claim or for another entry. */
    public byte[] content() {
        lock.lock();
        try {
            byte[] all = new byte[(int) receivedBytes];
            int position = 0;
            for (Chunk part : chunks) {
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
    public Optional<Answer> awaitHead(long millis) throws InterruptedException {
        long left = TimeUnit.MILLISECONDS.toNanos(millis);
        lock.lockInterruptibly();
        try {
            while (bodilessAnswer.isEmpty() && !streaming) {
                if (left <= 0) {
                    return Optional.empty();
                }
                left = changed.awaitNanos(left);
            }
            if (bodilessAnswer.isPresent()) {
                return bodilessAnswer;
            }
            Optional<Long> length = finished ? Optional.of(receivedBytes) : Optional.empty();
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
    public Optional<byte[]> nextChunk(long millis) throws IOException, InterruptedException {
        Optional<Chunk> part = takeChunk(millis);
        part.ifPresent(p -> p.onTaken().run());
        return part.map(Chunk::bytes);
    }

    private Optional<Chunk> takeChunk(long millis) throws IOException, InterruptedException {
        long left = TimeUnit.MILLISECONDS.toNanos(millis);
        lock.lockInterruptibly();
        try {
            while (chunks.isEmpty() && !finished && !failed) {
                if (left <= 0) {
                    throw new IOException("no part of the answer came for " + millis + " ms");
                }
                left = changed.awaitNanos(left);
            }
            if (failed) {
                throw new IOException("the answer broke off");
            }
            Chunk part = chunks.poll();
            if (part != null) {
                queuedBytes -= part.bytes().length;
                changed.signalAll();
            }
            return Optional.ofNullable(part);
        } finally {
            lock.unlock();
        }
    }

    private void withLock(Runnable change) {
        lock.lock();
        try {
            change.run();
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
