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
 * Guards against forwarded requests that run twice, answers that lose or mix parts, and producers
 * that wait for ever after the other entry is gone.
 */
public final class ForwardingTest {
    private static final long SEED = Long.getLong("jujubefork.seed", 7);
    private static final long WAIT_MILLIS = 5_000;
    private static final int MAX_BYTES = 8 * 1024 * 1024;
    private static final RequestId REQUEST = RequestId.of("e1-1");
    private static final ForwardedRequest WORK =
            new ForwardedRequest(
                    ShardId.of("z"),
                    QueueId.of("q"),
                    TeamId.of("t"),
                    WorkKind.LOOKUP,
                    Resources.of(1, 1, 0),
                    false,
                    10_000);

    /** An event queue that can be full: then it refuses offers, and a post waits. */
    private static final class FullQueue implements EventSink {
        private final BlockingQueue<Event> events;
        private final Semaphore room = new Semaphore(Integer.MAX_VALUE);

        FullQueue(BlockingQueue<Event> events) {
            this.events = events;
        }

        void fill() {
            room.drainPermits();
        }

        void empty() {
            room.release(Short.MAX_VALUE);
        }

        @Override
        public void post(Event event) {
            room.acquireUninterruptibly();
            events.add(event);
        }

        @Override
        public boolean offer(Event event) {
            return room.tryAcquire() && events.add(event);
        }
    }

    /** The parts of an entry that forward requests. */
    private static final class Side implements AutoCloseable {
        private final EntryId id;
        private final String address;
        private final RequestRegistry registry = new RequestRegistry();
        private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
        private final FullQueue queue = new FullQueue(events);
        private final PeerExecutor executor;
        private final PeerTransport transport;

        Side(String name) throws IOException {
            this(name, Optional.empty());
        }

        /** Creates a side that tells others that it is at {@code announced}. */
        Side(String name, Optional<String> announced) throws IOException {
            id = EntryId.of(name, 1);
            address = "127.0.0.1:" + PeerTransportTest.freePort();
            executor = new PeerExecutor(() -> 0, queue, registry, null, Optional::empty, MAX_BYTES);
            transport =
                    PeerTransport.start(
                            HostPort.parse(address),
                            new PeerMessage.Hello(id, announced.orElse(address)),
                            executor,
                            executor::connectionLost,
                            (peer, purpose, bytes) -> {});
            executor.attach(transport);
        }

        <E extends Event> E next(Class<E> type) throws InterruptedException {
            Event event = events.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertNotNull(event, "no " + type.getSimpleName());
            return type.cast(event);
        }

        @Override
        public void close() throws IOException {
            transport.close();
        }
    }

    private Side front;
    private Side owner;

    @BeforeMethod
    public void start() throws IOException {
        front = new Side("e1");
        owner = new Side("e2");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        front.close();
        owner.close();
    }

    private static byte[] random(int bytes) {
        byte[] all = new byte[bytes];
        new Random(SEED).nextBytes(all);
        return all;
    }

    private AnswerChannel forward(byte[] body) {
        AnswerChannel channel = AnswerChannel.of(false, MAX_BYTES);
        front.registry.add(REQUEST, body, channel);
        again();
        return channel;
    }

    private void again() {
        front.executor.forward(new RequestEffect.Forward(REQUEST, owner.id, owner.address, WORK));
    }

    private RequestId arrive() throws InterruptedException {
        return owner.next(RequestEvent.RequestForwarded.class).request();
    }

    private CompletableFuture<Void> produce(RequestId request, byte[] answer) {
        RequestRegistry.Sink sink = owner.registry.sink(request).orElseThrow();
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        for (int at = 0; at < answer.length; at += Frame.CHUNK_BYTES) {
                            int to = Math.min(answer.length, at + Frame.CHUNK_BYTES);
                            sink.accept(java.util.Arrays.copyOfRange(answer, at, to));
                        }
                        sink.finish("text/plain");
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
    }

    private void end(RequestId request, AttemptResult result) {
        owner.executor.answer(new RequestEffect.AnswerForward(request, front.id, result));
    }

    @Test
    public void aLargeBodyAndALargeStreamedAnswerArriveWhole() throws Exception {
        byte[] body = random(1_000_000);
        byte[] answer = random(3_000_000);
        AnswerChannel channel = forward(body);
        RequestId request = arrive();
        assertEquals(owner.registry.body(request).orElseThrow(), body);
        CompletableFuture<Void> producer = produce(request, answer);
        channel.await(WAIT_MILLIS);
        assertFalse(producer.isDone(), "the answer was sent without credit");
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        for (Optional<byte[]> part = channel.next(WAIT_MILLIS);
                part.isPresent();
                part = channel.next(WAIT_MILLIS)) {
            got.writeBytes(part.get());
        }
        producer.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(got.toByteArray(), answer, "seed " + SEED);
        end(request, AttemptResult.done());
        RequestEvent.ForwardAnswered answered = front.next(RequestEvent.ForwardAnswered.class);
        assertEquals(answered.result(), AttemptResult.done());
        assertTrue(owner.registry.sink(request).isEmpty());
    }

    @Test
    public void aConnectionClosedInTheMiddleIsAFailureAfterSending() throws Exception {
        forward(random(100));
        arrive();
        owner.close();
        RequestEvent.ForwardFailed failed = front.next(RequestEvent.ForwardFailed.class);
        assertTrue(failed.sent());
        assertEquals(failed.request(), REQUEST);
    }

    @Test
    public void anEntryThatIsNotThereIsAFailureBeforeSending() throws Exception {
        owner.close();
        forward(random(100));
        assertFalse(front.next(RequestEvent.ForwardFailed.class).sent());
    }

    @Test
    public void doneWithoutTheWholeAnswerIsAFailure() throws Exception {
        forward(random(10));
        end(arrive(), AttemptResult.done());
        assertTrue(front.next(RequestEvent.ForwardFailed.class).sent());
    }

    @Test
    public void lateChunksOfAnEarlierAttemptAreIgnored() throws Exception {
        AnswerChannel channel = forward(random(10));
        RequestId first = arrive();
        again();
        RequestId second = arrive();
        produce(first, random(500)).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        end(first, AttemptResult.done());
        byte[] answer = random(20);
        produce(second, answer).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        end(second, AttemptResult.done());
        front.next(RequestEvent.ForwardAnswered.class);
        channel.release();
        assertEquals(channel.next(WAIT_MILLIS).orElseThrow(), answer);
        assertEquals(channel.next(WAIT_MILLIS), Optional.empty());
    }

    @Test
    public void aProducerIsReleasedWhenTheFrontEntryIsGone() throws Exception {
        forward(random(10));
        RequestId request = arrive();
        CompletableFuture<Void> producer = produce(request, random(3_000_000));
        front.close();
        assertEquals(owner.next(RequestEvent.RequestCancelled.class).request(), request);
        assertThrows(
                ExecutionException.class, () -> producer.get(WAIT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    public void aProducerIsReleasedWhenTheCallerIsGone() throws Exception {
        forward(random(10));
        RequestId request = arrive();
        CompletableFuture<Void> producer = produce(request, random(3_000_000));
        front.executor.cancel(new RequestEffect.CancelForward(REQUEST, owner.address));
        assertEquals(owner.next(RequestEvent.RequestCancelled.class).request(), request);
        assertThrows(
                ExecutionException.class, () -> producer.get(WAIT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    public void partsAfterTheBodyDoNotStartTheRequestAgain() throws Exception {
        PeerMessage.Hello hello = new PeerMessage.Hello(front.id, front.address);
        owner.executor.receive(hello, Frame.of(5, new PeerMessage.Forward("r", WORK, 1)));
        Frame part = Frame.of(5, new PeerMessage.BodyChunk(new byte[1]));
        owner.executor.receive(hello, part);
        owner.executor.receive(hello, part);
        arrive();
        assertTrue(owner.events.isEmpty(), "accepted twice");
    }

    @Test
    public void anOwnerWithAFullEventQueueRefusesAndGoesOnReceiving() throws Exception {
        owner.queue.fill();
        forward(random(100));
        AttemptResult result = front.next(RequestEvent.ForwardAnswered.class).result();
        assertEquals(result, AttemptResult.notRunHere(RefusalReason.OVERLOADED));
        owner.queue.empty();
        again();
        arrive();
    }

    @Test
    public void anAnswerIsNotLostWhileTheEventQueueIsFull() throws Exception {
        forward(random(10));
        RequestId request = arrive();
        front.queue.fill();
        AttemptResult result = AttemptResult.notRunHere(RefusalReason.WORKER_REFUSED);
        end(request, result);
        assertEquals(front.events.poll(200, TimeUnit.MILLISECONDS), null);
        front.queue.empty();
        assertEquals(front.next(RequestEvent.ForwardAnswered.class).result(), result);
    }

    @Test
    public void aRequestThatIsTooLargeForTheOwnerIsAnswered() throws Exception {
        forward(random(MAX_BYTES + 1));
        AttemptResult result = front.next(RequestEvent.ForwardAnswered.class).result();
        assertEquals(result.outcome(), Outcome.NOT_RUN);
    }

    @Test
    public void anAnswerThatCannotBeSentFailsTheForward() throws Exception {
        String closed = "127.0.0.1:" + PeerTransportTest.freePort();
        front.close();
        front = new Side("e1", Optional.of(closed));
        forward(random(10));
        end(arrive(), AttemptResult.done());
        assertTrue(front.next(RequestEvent.ForwardFailed.class).sent());
    }
}
