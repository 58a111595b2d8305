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

/** Guards against partial or mixed answers that look complete, and against stuck producers. */
public final class AnswerChannelTest {
    private static final long SHORT_MILLIS = 20;
    private static final long LONG_MILLIS = 5_000;
    private static final int MAX_BYTES = 8 * 1024 * 1024;
    private static final AttemptResult REFUSAL =
            AttemptResult.notRun(RefusalReason.DEADLINE_BEFORE_START);

    private static AnswerChannel channel() {
        return AnswerChannel.of(false, MAX_BYTES);
    }

    private static AnswerChannel streaming() throws IOException {
        AnswerChannel channel = channel();
        channel.accept(new byte[AnswerChannel.HOLD_BYTES + 1]);
        return channel;
    }

    @Test
    public void holdsAShortAnswerUntilItIsReleased() throws Exception {
        AnswerChannel channel = channel();
        channel.accept(new byte[] {1, 2});
        channel.finish("text/plain");
        assertEquals(channel.await(SHORT_MILLIS), Optional.empty());
        channel.release();
        assertEquals(
                channel.await(LONG_MILLIS),
                Optional.of(new Answer.Body("text/plain", Optional.of(2L), false)));
        assertEquals(channel.next(LONG_MILLIS).orElseThrow(), new byte[] {1, 2});
        assertEquals(channel.next(LONG_MILLIS), Optional.empty());
    }

    @Test
    public void resetBeforeStreamingDiscardsTheFirstAttempt() throws Exception {
        AnswerChannel channel = channel();
        channel.accept(new byte[] {1, 2, 3});
        channel.finish("text/plain");
        channel.reset();
        assertFalse(channel.isFinished());
        channel.accept(new byte[] {4});
        channel.finish("text/plain");
        channel.release();
        channel.await(LONG_MILLIS);
        assertEquals(channel.next(LONG_MILLIS).orElseThrow(), new byte[] {4});
        assertEquals(channel.next(LONG_MILLIS), Optional.empty());
    }

    @Test
    public void resetAfterStreamingBreaksTheAnswer() throws Exception {
        AnswerChannel channel = streaming();
        channel.await(LONG_MILLIS);
        channel.reset();
        channel.finish("text/plain");
        assertThrows(IOException.class, () -> channel.next(LONG_MILLIS));
    }

    @Test
    public void refusalBeforeStreamingReachesTheCaller() throws Exception {
        AnswerChannel channel = channel();
        channel.accept(new byte[] {1});
        channel.refuse(REFUSAL);
        assertEquals(channel.await(LONG_MILLIS), Optional.of(new Answer.Refused(REFUSAL)));
    }

    @Test
    public void refusalAfterStreamingBreaksTheAnswer() throws Exception {
        AnswerChannel channel = streaming();
        channel.refuse(REFUSAL);
        assertTrue(channel.await(LONG_MILLIS).orElseThrow() instanceof Answer.Body);
        assertThrows(IOException.class, () -> channel.next(LONG_MILLIS));
    }

    @Test
    public void anAnswerToBeKeptWholeIsNotPassedOnEarly() throws Exception {
        AnswerChannel channel = AnswerChannel.of(true, MAX_BYTES);
        channel.accept(new byte[AnswerChannel.WINDOW_BYTES * 2]);
        assertEquals(channel.await(SHORT_MILLIS), Optional.empty());
        assertEquals(channel.content().length, AnswerChannel.WINDOW_BYTES * 2);
    }

    @Test
    public void tooLongAnAnswerBreaksOff() throws Exception {
        AnswerChannel channel = AnswerChannel.of(false, 10);
        assertThrows(IOException.class, () -> channel.accept(new byte[11]));
        channel.offer(new byte[11], () -> {});
        channel.release();
        assertThrows(IOException.class, () -> channel.next(LONG_MILLIS));
    }

    private static CompletableFuture<Void> produceTwoWindows(
            AnswerChannel channel, CountDownLatch first) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        channel.accept(new byte[AnswerChannel.WINDOW_BYTES]);
                        first.countDown();
                        channel.accept(new byte[AnswerChannel.WINDOW_BYTES]);
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
    }

    @Test
    public void aProducerWaitsAtTheWindowUntilTheConsumerTakes() throws Exception {
        AnswerChannel channel = channel();
        CountDownLatch first = new CountDownLatch(1);
        CompletableFuture<Void> producer = produceTwoWindows(channel, first);
        assertTrue(first.await(LONG_MILLIS, TimeUnit.MILLISECONDS));
        assertThrows(
                java.util.concurrent.TimeoutException.class,
                () -> producer.get(SHORT_MILLIS, TimeUnit.MILLISECONDS));
        channel.next(LONG_MILLIS);
        producer.get(LONG_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    public void abandonReleasesAProducerThatWaits() throws Exception {
        AnswerChannel channel = channel();
        CountDownLatch first = new CountDownLatch(1);
        CompletableFuture<Void> producer = produceTwoWindows(channel, first);
        assertTrue(first.await(LONG_MILLIS, TimeUnit.MILLISECONDS));
        channel.abandon();
        assertThrows(
                ExecutionException.class, () -> producer.get(LONG_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    public void creditComesAtOnceBelowTheWindowAndElseWhenThePartIsTaken() throws Exception {
        AnswerChannel channel = channel();
        AtomicInteger credits = new AtomicInteger();
        channel.offer(new byte[AnswerChannel.WINDOW_BYTES + 1], credits::incrementAndGet);
        assertEquals(credits.get(), 1);
        channel.offer(new byte[1], credits::incrementAndGet);
        assertEquals(credits.get(), 1);
        channel.next(LONG_MILLIS);
        assertEquals(credits.get(), 1);
        channel.next(LONG_MILLIS);
        assertEquals(credits.get(), 2);
    }
}
