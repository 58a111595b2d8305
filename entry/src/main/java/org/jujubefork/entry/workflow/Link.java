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
 * A connection between an entry and the leader. Messages are written by a thread of their own, so
 * that a sender never waits for the network.
 */
final class Link implements AutoCloseable {
    /** Messages that may wait; a peer that does not read loses the connection. */
    private static final int MAX_QUEUED_MESSAGES = 4_096;

    private final Socket socket;
    private final BlockingQueue<LinkMessage> queue = new ArrayBlockingQueue<>(MAX_QUEUED_MESSAGES);
    private final Thread writer;
    private volatile boolean open = true;

    private Link(Socket socket) {
        this.socket = socket;
        this.writer = Thread.ofVirtual().name("link-writer").unstarted(this::writeMessages);
    }

    /** Returns a link over {@code socket}, which is connected. */
    static Link over(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        Link link = new Link(socket);
        link.writer.start();
        return link;
    }

    /**
     * Connects to {@code address}.
     *
     * @param timeoutMillis limit for the connect
     * @throws IOException if no connection can be made
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
     * Sends {@code message} in the order of the calls.
     *
     * @return whether the link takes messages; one that was taken may still be lost
     */
    boolean send(LinkMessage message) {
        if (open && !queue.offer(message)) {
            close();
        }
        return open;
    }

    /**
     * Hands each message that arrives to {@code handler} until the connection ends.
     *
     * @param readTimeoutMillis the longest time without a message, 0 for no limit
     * @throws IOException when the connection ends or is silent for too long
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
                queue.take().writeTo(output);
                for (LinkMessage next = queue.poll(); next != null; next = queue.poll()) {
                    next.writeTo(output);
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

    /** Returns whether the connection has not ended. */
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
            // A socket that cannot be closed is of no further use either way.
            open = false;
        }
    }
}
