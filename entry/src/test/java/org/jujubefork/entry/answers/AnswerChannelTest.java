package org.jujubefork.entry.answers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.RefusalReason;
import org.testng.annotations.Test;

/**
 * Guards against answers that look complete although they are partial or mix two attempts, and
 * against producers that stay blocked.
 */
public final class AnswerChannelTest {
    private static final long SHORT_TIMEOUT_MILLIS = 20;
    private static final long LONG_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_BYTES = 8 * 1024 * 1024;
    private static final AttemptResult REFUSAL =
            AttemptResult.notRun(RefusalReason.DEADLINE_BEFORE_START);

    private static AnswerChannel newChannel() {
        return AnswerChannel.of(false, MAX_BYTES);
    }

    private static AnswerChannel streamingChannel() throws IOException {
        AnswerChannel channel = newChannel();
        channel.accept(new byte[AnswerChannel.MAX_RETRY_BUFFER_BYTES + 1]);
        return channel;
    }

    @Test
    public void buffersAShortAnswerUntilItIsReleased() throws Exception {
        AnswerChannel channel = newChannel();
        channel.accept(new byte[] {1, 2});
        channel.finish("text/plain");
        assertEquals(channel.awaitHead(SHORT_TIMEOUT_MILLIS), Optional.empty());
        channel.release();
        assertEquals(
                channel.awaitHead(LONG_TIMEOUT_MILLIS),
                Optional.of(new Answer.Body("text/plain", Optional.of(2L), false)));
        assertEquals(channel.nextChunk(LONG_TIMEOUT_MILLIS).orElseThrow(), new byte[] {1, 2});
        assertEquals(channel.nextChunk(LONG_TIMEOUT_MILLIS), Optional.empty());
    }

    @Test
    public void resetBeforeStreamingDiscardsTheFirstAttempt() throws Exception {
        AnswerChannel channel = newChannel();
        channel.accept(new byte[] {1, 2, 3});
        channel.finish("text/plain");
        channel.reset();
        assertFalse(channel.isFinished());
        channel.accept(new byte[] {4});
        channel.finish("text/plain");
        channel.release();
        channel.awaitHead(LONG_TIMEOUT_MILLIS);
        assertEquals(channel.nextChunk(LONG_TIMEOUT_MILLIS).orElseThrow(), new byte[] {4});
        assertEquals(channel.nextChunk(LONG_TIMEOUT_MILLIS), Optional.empty());
    }

    @Test
    public void resetAfterStreamingFailsTheAnswer() throws Exception {
        AnswerChannel channel = streamingChannel();
        channel.awaitHead(LONG_TIMEOUT_MILLIS);
        channel.reset();
        channel.finish("text/plain");
        assertThrows(IOException.class, () -> channel.nextChunk(LONG_TIMEOUT_MILLIS));
    }

    @Test
    public void refusalBeforeStreamingReachesTheCaller() throws Exception {
        AnswerChannel channel = newChannel();
        channel.accept(new byte[] {1});
        channel.refuse(REFUSAL);
        assertEquals(
                channel.awaitHead(LONG_TIMEOUT_MILLIS), Optional.of(new Answer.Refused(REFUSAL)));
    }

    @Test
    public void refusalAfterStreamingFailsTheAnswer() throws Exception {
        AnswerChannel channel = streamingChannel();
        channel.refuse(REFUSAL);
        assertTrue(channel.awaitHead(LONG_TIMEOUT_MILLIS).orElseThrow() instanceof Answer.Body);
        assertThrows(IOException.class, () -> channel.nextChunk(LONG_TIMEOUT_MILLIS));
    }

    @Test
    public void wholeAnswerIsBufferedUntilItIsReleased() throws Exception {
        AnswerChannel channel = AnswerChannel.of(true, MAX_BYTES);
        channel.accept(new byte[AnswerChannel.WINDOW_BYTES * 2]);
        assertEquals(channel.awaitHead(SHORT_TIMEOUT_MILLIS), Optional.empty());
        assertEquals(channel.wholeBody().length, AnswerChannel.WINDOW_BYTES * 2);
    }

    @Test
    public void tooLongAnswerFails() throws Exception {
        AnswerChannel channel = AnswerChannel.of(false, 10);
        assertThrows(IOException.class, () -> channel.accept(new byte[11]));
        channel.offer(new byte[11], () -> {});
        channel.release();
        assertThrows(IOException.class, () -> channel.nextChunk(LONG_TIMEOUT_MILLIS));
    }

    private static CompletableFuture<Void> produceTwoWindows(
            AnswerChannel channel, CountDownLatch firstWindowSent) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        channel.accept(new byte[AnswerChannel.WINDOW_BYTES]);
                        firstWindowSent.countDown();
                        channel.accept(new byte[AnswerChannel.WINDOW_BYTES]);
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
    }

    @Test
    public void producerBlocksWhileTheWindowIsFull() throws Exception {
        AnswerChannel channel = newChannel();
        CountDownLatch firstWindowSent = new CountDownLatch(1);
        CompletableFuture<Void> producer = produceTwoWindows(channel, firstWindowSent);
        assertTrue(firstWindowSent.await(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertThrows(
                java.util.concurrent.TimeoutException.class,
                () -> producer.get(SHORT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        channel.nextChunk(LONG_TIMEOUT_MILLIS);
        producer.get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    public void abandonUnblocksTheProducer() throws Exception {
        AnswerChannel channel = newChannel();
        CountDownLatch firstWindowSent = new CountDownLatch(1);
        CompletableFuture<Void> producer = produceTwoWindows(channel, firstWindowSent);
        assertTrue(firstWindowSent.await(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        channel.abandon();
        assertThrows(
                ExecutionException.class,
                () -> producer.get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    public void creditComesAtOnceWithinTheWindowAndOtherwiseWhenTheChunkIsTaken() throws Exception {
        AnswerChannel channel = newChannel();
        AtomicInteger creditCount = new AtomicInteger();
        channel.offer(new byte[AnswerChannel.WINDOW_BYTES + 1], creditCount::incrementAndGet);
        assertEquals(creditCount.get(), 1);
        channel.offer(new byte[1], creditCount::incrementAndGet);
        assertEquals(creditCount.get(), 1);
        channel.nextChunk(LONG_TIMEOUT_MILLIS);
        assertEquals(creditCount.get(), 1);
        channel.nextChunk(LONG_TIMEOUT_MILLIS);
        assertEquals(creditCount.get(), 2);
    }
}
