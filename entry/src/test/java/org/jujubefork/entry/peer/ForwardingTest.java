package org.jujubefork.entry.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.requests.ForwardedRequest;
import org.jujubefork.entry.answers.AnswerChannel;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.control.EventSink;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against forwarded requests that run twice, answers that lose or mix up parts, and answer
 * producers that block forever after the other entry has stopped.
 */
public final class ForwardingTest {
    private static final long SEED = Long.getLong("jujubefork.seed", 7);
    private static final long WAIT_MILLIS = 5_000;
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final RequestId REQUEST = RequestId.of("e1-1");
    private static final ForwardedRequest FORWARDED_REQUEST =
            new ForwardedRequest(
                    ShardId.of("z"),
                    QueueId.of("q"),
                    TeamId.of("t"),
                    WorkKind.LOOKUP,
                    Resources.of(1, 1, 0),
                    false,
                    10_000);

    /** An event queue that a test can fill: offers are then rejected, and posts block. */
    private static final class FillableQueue implements EventSink {
        private final BlockingQueue<Event> events;
        private final Semaphore permits = new Semaphore(Integer.MAX_VALUE);

        FillableQueue(BlockingQueue<Event> events) {
            this.events = events;
        }

        void fill() {
            permits.drainPermits();
        }

        void release() {
            permits.release(Short.MAX_VALUE);
        }

        @Override
        public void post(Event event) {
            permits.acquireUninterruptibly();
            events.add(event);
        }

        @Override
        public boolean offer(Event event) {
            return permits.tryAcquire() && events.add(event);
        }
    }

    /** The components of an entry that forward requests and answers. */
    private static final class TestEntry implements AutoCloseable {
        private final EntryId id;
        private final String address;
        private final RequestRegistry registry = new RequestRegistry();
        private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
        private final FillableQueue queue = new FillableQueue(events);
        private final PeerExecutor executor;
        private final PeerTransport transport;

        TestEntry(String name) throws IOException {
            this(name, Optional.empty());
        }

        /** Creates an entry that announces {@code announced} as its peer address, if given. */
        TestEntry(String name, Optional<String> announced) throws IOException {
            id = EntryId.of(name, 1);
            address = "127.0.0.1:" + PeerTransportTest.freePort();
            executor =
                    new PeerExecutor(
                            () -> 0, queue, registry, null, Optional::empty, MAX_BODY_BYTES);
            transport =
                    PeerTransport.start(
                            HostPort.parse(address),
                            new PeerMessage.Hello(id, announced.orElse(address)),
                            executor,
                            executor::connectionLost,
                            (peer, purpose, bytes) -> {});
            executor.attach(transport);
        }

        <E extends Event> E nextEvent(Class<E> type) throws InterruptedException {
            Event event = events.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertNotNull(event, "no event " + type.getSimpleName());
            return type.cast(event);
        }

        @Override
        public void close() throws IOException {
            transport.close();
        }
    }

    private TestEntry forwarder;
    private TestEntry owner;

    @BeforeMethod
    public void start() throws IOException {
        forwarder = new TestEntry("e1");
        owner = new TestEntry("e2");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        forwarder.close();
        owner.close();
    }

    private static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        new Random(SEED).nextBytes(bytes);
        return bytes;
    }

    private AnswerChannel forward(byte[] body) {
        AnswerChannel channel = AnswerChannel.of(false, MAX_BODY_BYTES);
        forwarder.registry.add(REQUEST, body, channel);
        forwardAgain();
        return channel;
    }

    private void forwardAgain() {
        forwarder.executor.forward(
                new RequestEffect.Forward(REQUEST, owner.id, owner.address, FORWARDED_REQUEST));
    }

    private RequestId awaitForwardedRequest() throws InterruptedException {
        return owner.nextEvent(RequestEvent.RequestForwarded.class).request();
    }

    private CompletableFuture<Void> produceAnswer(RequestId request, byte[] answer) {
        RequestRegistry.AnswerSink sink = owner.registry.sink(request).orElseThrow();
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        for (int from = 0; from < answer.length; from += Frame.MAX_CHUNK_BYTES) {
                            int to = Math.min(answer.length, from + Frame.MAX_CHUNK_BYTES);
                            sink.accept(java.util.Arrays.copyOfRange(answer, from, to));
                        }
                        sink.finish("text/plain");
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
    }

    private void endRequest(RequestId request, AttemptResult result) {
        owner.executor.answer(new RequestEffect.AnswerForward(request, forwarder.id, result));
    }

    @Test
    public void aLargeBodyAndALargeStreamedAnswerArriveWhole() throws Exception {
        byte[] body = randomBytes(1_000_000);
        byte[] answer = randomBytes(3_000_000);
        AnswerChannel channel = forward(body);
        RequestId request = awaitForwardedRequest();
        assertEquals(owner.registry.body(request).orElseThrow(), body);
        CompletableFuture<Void> producer = produceAnswer(request, answer);
        channel.awaitHead(WAIT_MILLIS);
        assertFalse(producer.isDone(), "the answer was sent without credit");
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        for (Optional<byte[]> part = channel.nextChunk(WAIT_MILLIS);
                part.isPresent();
                part = channel.nextChunk(WAIT_MILLIS)) {
            received.writeBytes(part.get());
        }
        producer.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(received.toByteArray(), answer, "seed " + SEED);
        endRequest(request, AttemptResult.done());
        RequestEvent.ForwardAnswered answered =
                forwarder.nextEvent(RequestEvent.ForwardAnswered.class);
        assertEquals(answered.result(), AttemptResult.done());
        assertTrue(owner.registry.sink(request).isEmpty());
    }

    @Test
    public void aConnectionClosedAfterForwardingFailsTheForwardAsSent() throws Exception {
        forward(randomBytes(100));
        awaitForwardedRequest();
        owner.close();
        RequestEvent.ForwardFailed failed = forwarder.nextEvent(RequestEvent.ForwardFailed.class);
        assertTrue(failed.maybeSent());
        assertEquals(failed.request(), REQUEST);
    }

    @Test
    public void anUnreachableEntryFailsTheForwardAsNotSent() throws Exception {
        owner.close();
        forward(randomBytes(100));
        assertFalse(forwarder.nextEvent(RequestEvent.ForwardFailed.class).maybeSent());
    }

    @Test
    public void aDoneResultWithAnIncompleteAnswerFailsTheForward() throws Exception {
        forward(randomBytes(10));
        endRequest(awaitForwardedRequest(), AttemptResult.done());
        assertTrue(forwarder.nextEvent(RequestEvent.ForwardFailed.class).maybeSent());
    }

    @Test
    public void lateChunksOfAnEarlierAttemptAreIgnored() throws Exception {
        AnswerChannel channel = forward(randomBytes(10));
        RequestId first = awaitForwardedRequest();
        forwardAgain();
        RequestId second = awaitForwardedRequest();
        produceAnswer(first, randomBytes(500)).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        endRequest(first, AttemptResult.done());
        byte[] answer = randomBytes(20);
        produceAnswer(second, answer).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        endRequest(second, AttemptResult.done());
        forwarder.nextEvent(RequestEvent.ForwardAnswered.class);
        channel.release();
        assertEquals(channel.nextChunk(WAIT_MILLIS).orElseThrow(), answer);
        assertEquals(channel.nextChunk(WAIT_MILLIS), Optional.empty());
    }

    @Test
    public void aProducerIsUnblockedWhenTheForwardingEntryStops() throws Exception {
        forward(randomBytes(10));
        RequestId request = awaitForwardedRequest();
        CompletableFuture<Void> producer = produceAnswer(request, randomBytes(3_000_000));
        forwarder.close();
        assertEquals(owner.nextEvent(RequestEvent.RequestCancelled.class).request(), request);
        assertThrows(
                ExecutionException.class, () -> producer.get(WAIT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    public void aProducerIsUnblockedWhenTheForwardIsCancelled() throws Exception {
        forward(randomBytes(10));
        RequestId request = awaitForwardedRequest();
        CompletableFuture<Void> producer = produceAnswer(request, randomBytes(3_000_000));
        forwarder.executor.cancel(new RequestEffect.CancelForward(REQUEST, owner.address));
        assertEquals(owner.nextEvent(RequestEvent.RequestCancelled.class).request(), request);
        assertThrows(
                ExecutionException.class, () -> producer.get(WAIT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    public void partsAfterTheBodyDoNotStartTheRequestAgain() throws Exception {
        PeerMessage.Hello hello = new PeerMessage.Hello(forwarder.id, forwarder.address);
        owner.executor.receive(
                hello, Frame.of(5, new PeerMessage.Forward("r", FORWARDED_REQUEST, 1)));
        Frame part = Frame.of(5, new PeerMessage.BodyChunk(new byte[1]));
        owner.executor.receive(hello, part);
        owner.executor.receive(hello, part);
        awaitForwardedRequest();
        assertTrue(owner.events.isEmpty(), "the request was submitted twice");
    }

    @Test
    public void anOwnerWithAFullEventQueueRejectsAndKeepsReceiving() throws Exception {
        owner.queue.fill();
        forward(randomBytes(100));
        AttemptResult result = forwarder.nextEvent(RequestEvent.ForwardAnswered.class).result();
        assertEquals(result, AttemptResult.notRunHere(RefusalReason.OVERLOADED));
        owner.queue.release();
        forwardAgain();
        awaitForwardedRequest();
    }

    @Test
    public void anAnswerIsNotLostWhileTheEventQueueIsFull() throws Exception {
        forward(randomBytes(10));
        RequestId request = awaitForwardedRequest();
        forwarder.queue.fill();
        AttemptResult result = AttemptResult.notRunHere(RefusalReason.WORKER_REFUSED);
        endRequest(request, result);
        assertEquals(forwarder.events.poll(200, TimeUnit.MILLISECONDS), null);
        forwarder.queue.release();
        assertEquals(forwarder.nextEvent(RequestEvent.ForwardAnswered.class).result(), result);
    }

    @Test
    public void aRequestThatIsTooLargeForTheOwnerIsRejected() throws Exception {
        forward(randomBytes(MAX_BODY_BYTES + 1));
        AttemptResult result = forwarder.nextEvent(RequestEvent.ForwardAnswered.class).result();
        assertEquals(result.outcome(), Outcome.NOT_RUN);
    }

    @Test
    public void anAnswerThatCannotBeSentFailsTheForward() throws Exception {
        String closed = "127.0.0.1:" + PeerTransportTest.freePort();
        forwarder.close();
        forwarder = new TestEntry("e1", Optional.of(closed));
        forward(randomBytes(10));
        endRequest(awaitForwardedRequest(), AttemptResult.done());
        assertTrue(forwarder.nextEvent(RequestEvent.ForwardFailed.class).maybeSent());
    }
}
