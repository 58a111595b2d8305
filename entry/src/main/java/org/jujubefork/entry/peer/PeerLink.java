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
 * there is something to send. A link whose connection is gone ends when nothing is sent for some
 * time, so that links to entries that are gone do not pile up.
 */
final class PeerLink implements AutoCloseable {
    /**
     * Parcels that may wait; one that is offered while the queue is full is dropped and reported as
     * not sent.
     */
    static final int MAX_QUEUED_BATCHES = 256;

    private static final Logger log = Logger.getLogger(PeerLink.class);

    /** What to do when a parcel was not sent, or may have been sent in part. */
    @FunctionalInterface
    interface FailureHandler {
        /** Reports that sending failed; {@code sent} tells whether any byte can have arrived. */
        void onFailure(boolean sent);
    }

    /** Opens connections. */
    @FunctionalInterface
    interface Connector {
        /** Returns an open connection to {@code peerAddress}. */
        Connection<?> connect(String peerAddress) throws IOException;
    }

    /**
     * Frames that are sent one after the other.
     *
     * @param frames the frames
     * @param failureHandler what to do if they were not all sent
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
     * Returns a link whose first frame on each connection is {@code hello}.
     *
     * @param idleTimeout time without parcels after which a link without a connection ends
     * @param onRetired is told of that end
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

    /** Returns the address of the other entry. */
    String peerAddress() {
        return peerAddress;
    }

    /**
     * Sends {@code batch}, or reports at once that it was not sent if too much waits.
     *
     * @return false if the link has ended and did nothing with the parcel
     */
    boolean offer(FrameBatch batch) {
        if (!queue.offer(batch)) {
            batch.failureHandler().onFailure(false);
            return true;
        }
        return !withdrawIfRetired(batch);
    }

    /**
     * Sends {@code batch}, waiting until there is room for it.
     *
     * @return false if the link has ended and did nothing with the parcel
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
     * Ends the link unless a parcel has just come. The mark is set before the queue is read, and a
     * sender reads the mark after it has put its parcel, so that one of the two sees the other.
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
