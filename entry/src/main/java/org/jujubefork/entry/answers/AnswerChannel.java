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
 * Passes the answer to one request from its producer to the caller's connection.
 *
 * <p>A producer adds chunks and finishes the answer. The control thread releases, resets or refuses
 * it. One consumer waits for the head and then takes the chunks. A short answer is buffered until
 * it is released, so that a failed attempt can be retried without the caller noticing. Unless the
 * channel buffers the whole answer, an answer that outgrows {@link #MAX_RETRY_BUFFER_BYTES} is
 * streamed as it arrives, and the producer waits if the consumer falls behind.
 */
public final class AnswerChannel implements ChunkSink {
    /**
     * Answers up to this size are buffered until they are released, so that retries stay possible.
     */
    public static final int MAX_RETRY_BUFFER_BYTES = 64 * 1024;

    /** Flow control window: a producer waits while more bytes than this are queued. */
    static final int WINDOW_BYTES = 256 * 1024;

    /**
     * A part of the body.
     *
     * @param bytes the content
     * @param onTaken runs when the consumer takes the chunk
     */
    @SuppressWarnings("ArrayRecordComponent") // avoids copies of bodies
    private record Chunk(byte[] bytes, Runnable onTaken) {}

    private static void doNothing() {}

    private static final Runnable NO_ACTION = AnswerChannel::doNothing;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition stateChanged = lock.newCondition();
    private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
    private final boolean bufferWholeAnswer;
    private final long maxBytes;
    private String contentType = "application/json";
    private long receivedBytes;
    private long queuedBytes;
    private boolean finished;

    /** Whether the consumer may take chunks: the answer was released or outgrew the buffer. */
    private boolean streaming;

    private boolean failed;
    private boolean abandoned;
    private boolean replayed;
    private Optional<Answer> bodilessAnswer = Optional.empty();

    private AnswerChannel(boolean bufferWholeAnswer, long maxBytes) {
        this.bufferWholeAnswer = bufferWholeAnswer;
        this.maxBytes = maxBytes;
    }

    /**
     * Returns a new channel.
     *
     * @param bufferWholeAnswer whether the whole answer is buffered until it is released, whatever
     *     its size
     * @param maxBytes the length limit of the answer
     */
    public static AnswerChannel of(boolean bufferWholeAnswer, long maxBytes) {
        return new AnswerChannel(bufferWholeAnswer, maxBytes);
    }

    /**
     * Adds a chunk of the answer. Blocks while a streamed answer fills the flow control window.
     *
     * @throws IOException if the answer is too long or the caller has abandoned it
     */
    @Override
    public void accept(byte[] chunk) throws IOException {
        lock.lock();
        try {
            if (receivedBytes + chunk.length > maxBytes) {
                throw new IOException("the answer is longer than " + maxBytes + " bytes");
            }
            enqueue(new Chunk(chunk, NO_ACTION));
            while (streaming && queuedBytes > WINDOW_BYTES && !abandoned) {
                stateChanged.awaitUninterruptibly();
            }
            if (abandoned) {
                throw new IOException("the caller has abandoned the request");
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Adds a chunk of the answer without blocking. An answer that becomes too long fails.
     *
     * @param onCredit runs when the sender may send another chunk: at once while the flow control
     *     window has space, otherwise when the consumer takes this chunk
     */
    public void offer(byte[] chunk, Runnable onCredit) {
        boolean hasWindowSpace;
        lock.lock();
        try {
            if (receivedBytes + chunk.length > maxBytes) {
                failed = true;
                stateChanged.signalAll();
                return;
            }
            hasWindowSpace = bufferWholeAnswer || queuedBytes <= WINDOW_BYTES;
            enqueue(new Chunk(chunk, hasWindowSpace ? NO_ACTION : onCredit));
        } finally {
            lock.unlock();
        }
        if (hasWindowSpace) {
            onCredit.run();
        }
    }

    private void enqueue(Chunk chunk) {
        chunks.add(chunk);
        receivedBytes += chunk.bytes().length;
        queuedBytes += chunk.bytes().length;
        streaming = streaming || (!bufferWholeAnswer && receivedBytes > MAX_RETRY_BUFFER_BYTES);
        stateChanged.signalAll();
    }

    /** Returns the number of bytes of the answer that have arrived. */
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

    /** Marks the answer as complete and sets its media type. */
    public void finish(String mediaType) {
        withLock(
                () -> {
                    finished = true;
                    contentType = mediaType;
                });
    }

    /** Releases the buffered answer to the consumer. */
    public void release() {
        withLock(() -> streaming = true);
    }

    /**
     * Discards the received chunks before the request is retried. If streaming has started, the
     * answer fails instead.
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

    /** Answers with a refusal. If streaming has started, the answer fails instead. */
    public void refuse(AttemptResult result) {
        answerWithoutBody(new Answer.Refused(result));
    }

    /** Answers that the submitted job was accepted. */
    public void acceptJob(String job) {
        answerWithoutBody(new Answer.JobAccepted(job));
    }

    /** Answers that an earlier request has finished and that its answer was too large to store. */
    public void answerBodyNotStored() {
        answerWithoutBody(new Answer.BodyNotStored());
    }

    /** Answers with the stored body of an earlier request. */
    public void replay(byte[] body, String mediaType) {
        withLock(
                () -> {
                    chunks.clear();
                    chunks.add(new Chunk(body, NO_ACTION));
                    receivedBytes = body.length;
                    contentType = mediaType;
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

    /** Abandons the answer because the caller is gone. A blocked producer then fails. */
    public void abandon() {
        withLock(() -> abandoned = true);
    }

    /** Returns the body of the finished answer, for storing it in a claim. */
    public byte[] wholeBody() {
        lock.lock();
        try {
            byte[] body = new byte[(int) receivedBytes];
            int position = 0;
            for (Chunk chunk : chunks) {
                System.arraycopy(chunk.bytes(), 0, body, position, chunk.bytes().length);
                position += chunk.bytes().length;
            }
            return body;
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
     * @return the head, or empty if there is none after {@code timeoutMillis}
     */
    public Optional<Answer> awaitHead(long timeoutMillis) throws InterruptedException {
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        lock.lockInterruptibly();
        try {
            while (bodilessAnswer.isEmpty() && !streaming) {
                if (remainingNanos <= 0) {
                    return Optional.empty();
                }
                remainingNanos = stateChanged.awaitNanos(remainingNanos);
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
     * Waits for the next chunk of the body and takes it.
     *
     * @return the chunk, or empty at the end of the body
     * @throws IOException if the answer failed, or no chunk arrived within {@code timeoutMillis}
     */
    public Optional<byte[]> nextChunk(long timeoutMillis) throws IOException, InterruptedException {
        Optional<Chunk> chunk = takeChunk(timeoutMillis);
        chunk.ifPresent(c -> c.onTaken().run());
        return chunk.map(Chunk::bytes);
    }

    private Optional<Chunk> takeChunk(long timeoutMillis) throws IOException, InterruptedException {
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        lock.lockInterruptibly();
        try {
            while (chunks.isEmpty() && !finished && !failed) {
                if (remainingNanos <= 0) {
                    throw new IOException(
                            "no chunk of the answer arrived for " + timeoutMillis + " ms");
                }
                remainingNanos = stateChanged.awaitNanos(remainingNanos);
            }
            if (failed) {
                throw new IOException("the answer failed before it was complete");
            }
            Chunk chunk = chunks.poll();
            if (chunk != null) {
                queuedBytes -= chunk.bytes().length;
                stateChanged.signalAll();
            }
            return Optional.ofNullable(chunk);
        } finally {
            lock.unlock();
        }
    }

    private void withLock(Runnable change) {
        lock.lock();
        try {
            change.run();
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
