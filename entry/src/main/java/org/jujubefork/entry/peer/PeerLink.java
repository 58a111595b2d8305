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
    static final int QUEUE_PARCELS = 256;

    private static final Logger log = Logger.getLogger(PeerLink.class);

    /** What to do when a parcel was not sent, or may have been sent in part. */
    @FunctionalInterface
    interface Failure {
        /** Reports that sending failed; {@code sent} tells whether any byte can have arrived. */
        void failed(boolean sent);
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
     * @param failure what to do if they were not all sent
     */
    record Parcel(List<Frame> frames, Failure failure) {}

    private final String peerAddress;
    private final Connector connector;
    private final Frame hello;
    private final BlockingQueue<Parcel> parcels = new LinkedBlockingQueue<>(QUEUE_PARCELS);
    private final Duration idle;
    private final Consumer<PeerLink> onRetired;
    private final Thread thread;
    private volatile Connection<?> connection;
    private volatile boolean retired;

    private PeerLink(
            String peerAddress,
            Connector connector,
            Frame hello,
            Duration idle,
            Consumer<PeerLink> onRetired) {
        this.peerAddress = peerAddress;
        this.connector = connector;
        this.hello = hello;
        this.idle = idle;
        this.onRetired = onRetired;
        this.thread = Thread.ofVirtual().name("peer-" + peerAddress).unstarted(this::run);
    }

    /**
     * Returns a link whose first frame on each connection is {@code hello}.
     *
     * @param idle time without parcels after which a link without a connection ends
     * @param onRetired is told of that end
     */
    static PeerLink open(
            String peerAddress,
            Connector connector,
            Frame hello,
            Duration idle,
            Consumer<PeerLink> onRetired) {
        PeerLink link = new PeerLink(peerAddress, connector, hello, idle, onRetired);
        link.thread.start();
        return link;
    }

    /** Returns the address of the other entry. */
    String peerAddress() {
        return peerAddress;
    }

    /**
     * Sends {@code parcel}, or reports at once that it was not sent if too much waits.
     *
     * @return false if the link has ended and did nothing with the parcel
     */
    boolean offer(Parcel parcel) {
        if (!parcels.offer(parcel)) {
            parcel.failure().failed(false);
            return true;
        }
        return !takeBack(parcel);
    }

    /**
     * Sends {@code parcel}, waiting until there is room for it.
     *
     * @return false if the link has ended and did nothing with the parcel
     */
    boolean put(Parcel parcel) throws InterruptedException {
        parcels.put(parcel);
        return !takeBack(parcel);
    }

    private boolean takeBack(Parcel parcel) {
        return retired && parcels.remove(parcel);
    }

    private void run() {
        try {
            boolean open = true;
            while (open) {
                Parcel parcel = parcels.poll(idle.toMillis(), TimeUnit.MILLISECONDS);
                if (parcel != null) {
                    send(parcel);
                } else if (!isConnected()) {
                    open = !retire();
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
    private boolean retire() {
        retired = true;
        if (!parcels.isEmpty()) {
            retired = false;
            return false;
        }
        onRetired.accept(this);
        return true;
    }

    private void send(Parcel parcel) throws InterruptedException {
        boolean sent = false;
        try {
            if (!isConnected()) {
                connection = connector.connect(peerAddress);
                write(hello);
            }
            for (Frame frame : parcel.frames()) {
                sent = true;
                write(frame);
            }
        } catch (IOException e) {
            log.debugf("event=peer-send-failed to=%s reason=\"%s\"", peerAddress, e.getMessage());
            disconnect();
            parcel.failure().failed(sent);
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
