package org.jujubefork.entry.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.jboss.logging.Logger;

/**
 * Sends frames to one other entry over one connection, in order. The connection is opened when
 * there is something to send. A link without a connection retires once nothing has been sent for
 * the idle timeout, so that links to stopped entries do not accumulate.
 */
final class PeerLink implements AutoCloseable {
    /**
     * Capacity of the queue. A batch that is offered while the queue is full is dropped and
     * reported as not sent.
     */
    static final int MAX_QUEUED_BATCHES = 256;

    private static final Logger log = Logger.getLogger(PeerLink.class);

    /** Handles a batch that was not sent, or that may have been sent in part. */
    @FunctionalInterface
    interface FailureHandler {
        /** Handles the failure; {@code maybeSent} is false if certainly no frame was sent. */
        void onFailure(boolean maybeSent);
    }

    /** Opens a connection to another entry. */
    @FunctionalInterface
    interface Connector {
        /** Returns an open connection, or throws if {@code peerAddress} does not accept one. */
        Connection<?> connect(String peerAddress) throws IOException;
    }

    /**
     * Frames that are sent consecutively, with no frame of another batch in between.
     *
     * @param frames the frames, in the order of sending
     * @param failureHandler called if not all frames were sent
     */
    record FrameBatch(List<Frame> frames, FailureHandler failureHandler) {}

    private final String peerAddress;
    private final Connector connector;
    private final Frame hello;
    private final BlockingQueue<FrameBatch> queue = new LinkedBlockingQueue<>(MAX_QUEUED_BATCHES);
    private final Duration idleTimeout;
    private final Consumer<PeerLink> onRetired;
    private final Thread thread;
    private volatile Connection<?> connection;
    private volatile boolean retired;

    private PeerLink(
            String peerAddress,
            Connector connector,
            Frame hello,
            Duration idleTimeout,
            Consumer<PeerLink> onRetired) {
        this.peerAddress = peerAddress;
        this.connector = connector;
        this.hello = hello;
        this.idleTimeout = idleTimeout;
        this.onRetired = onRetired;
        this.thread = Thread.ofVirtual().name("peer-" + peerAddress).unstarted(this::run);
    }

    /**
     * Starts a link.
     *
     * @param hello the first frame on each connection
     * @param idleTimeout time without batches after which a link without a connection retires
     * @param onRetired called on the thread of the link when it retires
     */
    static PeerLink open(
            String peerAddress,
            Connector connector,
            Frame hello,
            Duration idleTimeout,
            Consumer<PeerLink> onRetired) {
        PeerLink link = new PeerLink(peerAddress, connector, hello, idleTimeout, onRetired);
        link.thread.start();
        return link;
    }

    /** Returns the address at which the other entry accepts connections. */
    String peerAddress() {
        return peerAddress;
    }

    /**
     * Queues {@code batch} for sending. If the queue is full, calls its failure handler at once.
     *
     * @return false if the link has retired and the batch was withdrawn unsent
     */
    boolean offer(FrameBatch batch) {
        if (!queue.offer(batch)) {
            batch.failureHandler().onFailure(false);
            return true;
        }
        return !withdrawIfRetired(batch);
    }

    /**
     * Queues {@code batch} for sending, blocking while the queue is full.
     *
     * @return false if the link has retired and the batch was withdrawn unsent
     */
    boolean put(FrameBatch batch) throws InterruptedException {
        queue.put(batch);
        return !withdrawIfRetired(batch);
    }

    private boolean withdrawIfRetired(FrameBatch batch) {
        return retired && queue.remove(batch);
    }

    private void run() {
        try {
            boolean running = true;
            while (running) {
                FrameBatch batch = queue.poll(idleTimeout.toMillis(), TimeUnit.MILLISECONDS);
                if (batch != null) {
                    send(batch);
                } else if (!isConnected()) {
                    running = !retireIfQueueEmpty();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isConnected() {
        Connection<?> current = connection;
        return current != null && current.isOpen();
    }

    /**
     * Retires the link unless a batch has just been queued. The flag is set before the queue is
     * read, and a sender reads the flag after it has queued its batch, so at least one of the two
     * threads sees the change of the other.
     *
     * @return whether the link has retired
     */
    private boolean retireIfQueueEmpty() {
        retired = true;
        if (!queue.isEmpty()) {
            retired = false;
            return false;
        }
        onRetired.accept(this);
        return true;
    }

    private void send(FrameBatch batch) throws InterruptedException {
        boolean maybeSent = false;
        try {
            if (!isConnected()) {
                connection = connector.connect(peerAddress);
                write(hello);
            }
            for (Frame frame : batch.frames()) {
                maybeSent = true;
                write(frame);
            }
        } catch (IOException e) {
            log.debugf("event=peer-send-failed to=%s reason=\"%s\"", peerAddress, e.getMessage());
            disconnect();
            batch.failureHandler().onFailure(maybeSent);
        }
    }

    private void write(Frame frame) throws IOException, InterruptedException {
        try {
            connection.write(frame).get(WRITE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IOException("write failed: " + e.getCause(), e);
        } catch (TimeoutException e) {
            throw new IOException("write took longer than " + WRITE_TIMEOUT_SECONDS + " s", e);
        }
    }

    private static final int WRITE_TIMEOUT_SECONDS = 10;

    private void disconnect() {
        Connection<?> current = connection;
        if (current != null) {
            current.terminateSilently();
            connection = null;
        }
    }

    @Override
    public void close() {
        thread.interrupt();
        disconnect();
    }
}
