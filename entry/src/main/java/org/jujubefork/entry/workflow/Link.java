package org.jujubefork.entry.workflow;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;
import org.jujubefork.config.settings.HostPort;

/**
 * A connection between a follower and the leader. A dedicated thread writes the messages, so a
 * sender never waits for the network.
 */
final class Link implements AutoCloseable {
    /** Maximum number of queued messages. If the queue is full, the peer is disconnected. */
    private static final int MAX_QUEUED_MESSAGES = 4_096;

    private final Socket socket;
    private final BlockingQueue<LinkMessage> outgoingMessages =
            new ArrayBlockingQueue<>(MAX_QUEUED_MESSAGES);
    private final Thread writer;
    private volatile boolean open = true;

    private Link(Socket socket) {
        this.socket = socket;
        this.writer = Thread.ofVirtual().name("link-writer").unstarted(this::writeMessages);
    }

    /** Returns a link over {@code socket}, which must be connected. */
    static Link over(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        Link link = new Link(socket);
        link.writer.start();
        return link;
    }

    /**
     * Connects to {@code address}.
     *
     * @param timeoutMillis time limit of the connection attempt
     * @throws IOException if the connection cannot be established
     */
    static Link connect(HostPort address, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(address.host(), address.port()), timeoutMillis);
            return over(socket);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /**
     * Queues {@code message} for sending. Messages are sent in the order of the calls. If the queue
     * is full, the link is closed.
     *
     * @return whether the link is open; a queued message may still be lost
     */
    boolean send(LinkMessage message) {
        if (open && !outgoingMessages.offer(message)) {
            close();
        }
        return open;
    }

    /**
     * Passes each incoming message to {@code handler} until the connection ends.
     *
     * @param readTimeoutMillis the longest time without a message, 0 for no limit
     * @throws IOException when the connection ends or no message arrives within the time limit
     */
    void readMessages(int readTimeoutMillis, Consumer<LinkMessage> handler) throws IOException {
        socket.setSoTimeout(readTimeoutMillis);
        DataInputStream input =
                new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        while (open) {
            handler.accept(LinkMessage.readFrom(input));
        }
    }

    private void writeMessages() {
        try (DataOutputStream output =
                new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()))) {
            while (open) {
                outgoingMessages.take().writeTo(output);
                for (LinkMessage message = outgoingMessages.poll();
                        message != null;
                        message = outgoingMessages.poll()) {
                    message.writeTo(output);
                }
                output.flush();
            }
        } catch (IOException e) {
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close();
        }
    }

    /** Returns whether the link still accepts messages. */
    boolean isOpen() {
        return open;
    }

    @Override
    public void close() {
        open = false;
        writer.interrupt();
        try {
            socket.close();
        } catch (IOException e) {
            // The link is not used any more, whether or not the socket could be closed.
            open = false;
        }
    }
}
