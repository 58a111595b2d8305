package org.jujubefork.entry.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.entry.answers.RequestRegistry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against mixed up or truncated views, and fetches that never complete. */
public final class PeerViewsTest {
    private static final long SEED = Long.getLong("jujubefork.seed", 7);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /** The components of an entry that exchange views. */
    private static final class TestEntry implements AutoCloseable {
        private final String address;
        private final PeerTransport transport;
        private final PeerViews views;

        TestEntry(String name, Function<String, Optional<byte[]>> ownViews) throws IOException {
            address = "127.0.0.1:" + PeerTransportTest.freePort();
            PeerExecutor executor =
                    new PeerExecutor(
                            () -> 0, e -> {}, new RequestRegistry(), null, Optional::empty, 1_000);
            transport =
                    PeerTransport.start(
                            HostPort.parse(address),
                            new PeerMessage.Hello(EntryId.of(name, 1), address),
                            executor,
                            executor::connectionLost,
                            (peer, purpose, bytes) -> {});
            executor.attach(transport);
            views = executor.exchangeViews(ownViews);
        }

        @Override
        public void close() throws IOException {
            transport.close();
        }
    }

    private final byte[] largeView = new byte[PeerViews.MAX_VIEW_BYTES];
    private TestEntry requester;
    private TestEntry owner;

    @BeforeMethod
    public void start() throws IOException {
        new Random(SEED).nextBytes(largeView);
        requester = new TestEntry("e1", view -> Optional.empty());
        owner = new TestEntry("e2", this::view);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        requester.close();
        owner.close();
    }

    private Optional<byte[]> view(String name) {
        return switch (name) {
            case "small" -> Optional.of(new byte[] {1});
            case "large" -> Optional.of(largeView);
            case "too large" -> Optional.of(new byte[PeerViews.MAX_VIEW_BYTES + 1]);
            case "slow" -> {
                sleep();
                yield Optional.empty();
            }
            default -> Optional.empty();
        };
    }

    private static void sleep() {
        try {
            Thread.sleep(1_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CompletableFuture<byte[]> fetch(String view, Duration timeout) {
        return requester.views.fetch(owner.address, view, timeout);
    }

    @Test
    public void concurrentViewsArriveCompleteAndSeparate() throws Exception {
        CompletableFuture<byte[]> first = fetch("large", TIMEOUT);
        CompletableFuture<byte[]> second = fetch("small", TIMEOUT);
        assertEquals(second.get(5, TimeUnit.SECONDS), new byte[] {1});
        assertEquals(first.get(5, TimeUnit.SECONDS), largeView, "seed " + SEED);
    }

    @Test
    public void aViewThatIsTooLargeOrUnknownFails() {
        for (String view : new String[] {"too large", "unknown"}) {
            Throwable cause =
                    expectThrows(ExecutionException.class, () -> fetch(view, TIMEOUT).get())
                            .getCause();
            assertEquals(cause.getClass(), IOException.class, view);
        }
    }

    @Test
    public void aFetchFailsIfTheOwnerIsTooSlowOrStopped() throws IOException {
        Duration shorter = Duration.ofMillis(100);
        Throwable late =
                expectThrows(ExecutionException.class, () -> fetch("slow", shorter).get())
                        .getCause();
        assertEquals(late.getClass(), TimeoutException.class);
        owner.close();
        expectThrows(ExecutionException.class, () -> fetch("small", TIMEOUT).get());
    }
}
