package org.jujubefork.entry.peer;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.glassfish.grizzly.Connection;
import org.jboss.logging.Logger;

/**
 * Sends frames to one other entry over one connection, in order. The connection is opened when
 * there is something to send.
 */
final class PeerLink implements AutoCloseable {
    /**
     * Frames that may wait; a control message that finds the queue full is dropped and reported as
     * not sent.
     */
    private static final int QUEUE_FRAMES = 256;

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
    private final BlockingQueue<Parcel> parcels = new LinkedBlockingQueue<>(QUEUE_FRAMES);
    private final Thread thread;
    private Connection<?> connection;

    private PeerLink(String peerAddress, Connector connector, Frame hello) {
        this.peerAddress = peerAddress;
        this.connector = connector;
        this.hello = hello;
        this.thread = Thread.ofVirtual().name("peer-" + peerAddress).unstarted(this::run);
    }

    /** Returns a link whose first frame on each connection is {@code hello}. */
    static PeerLink open(String peerAddress, Connector connector, Frame hello) {
        PeerLink link = new PeerLink(peerAddress, connector, hello);
        link.thread.start();
        return link;
    }

    /** Sends {@code parcel}, or reports at once that it was not sent if too much waits. */
    void offer(Parcel parcel) {
        if (!parcels.offer(parcel)) {
            parcel.failure().failed(false);
        }
    }

    /** Sends {@code parcel}, waiting until there is room for it. */
    void put(Parcel parcel) throws InterruptedException {
        parcels.put(parcel);
    }

    private void run() {
        try {
            while (true) {
                send(parcels.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Parcel parcel) throws InterruptedException {
        boolean sent = false;
        try {
            if (connection == null || !connection.isOpen()) {
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
        if (connection != null) {
            connection.terminateSilently();
            connection = null;
        }
    }

    @Override
    public void close() {
        thread.interrupt();
        disconnect();
    }
}
