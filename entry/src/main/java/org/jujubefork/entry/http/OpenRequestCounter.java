package org.jujubefork.entry.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.server.AfterServiceListener;
import org.glassfish.grizzly.http.server.Request;

/**
 * Counts the open requests. A request is open from its arrival until its response is flushed to the
 * connection, or the connection is closed.
 */
final class OpenRequestCounter {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition zeroReached = lock.newCondition();
    private int count;

    /** Counts {@code request}, which has just arrived, until its response is flushed. */
    void add(Request request) {
        adjustCount(1);
        Connection<?> connection = request.getContext().getConnection();
        OpenRequest openRequest = new OpenRequest(connection);
        connection.addCloseListener(openRequest);
        request.addAfterServiceListener(openRequest);
    }

    /** Returns the number of open requests. */
    int count() {
        lock.lock();
        try {
            return count;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until no request is open.
     *
     * @return false if {@code timeout} elapsed first
     */
    boolean awaitZero(Duration timeout) throws InterruptedException {
        long remainingNanos = timeout.toNanos();
        lock.lockInterruptibly();
        try {
            while (count > 0 && remainingNanos > 0) {
                remainingNanos = zeroReached.awaitNanos(remainingNanos);
            }
            return count == 0;
        } finally {
            lock.unlock();
        }
    }

    private void adjustCount(int delta) {
        lock.lock();
        try {
            count += delta;
            if (count == 0) {
                zeroReached.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Decrements the count once, after the flush of the response or the close of the connection.
     */
    private final class OpenRequest extends EmptyCompletionHandler<Object>
            implements AfterServiceListener, CloseListener<Closeable, ICloseType> {
        private final Connection<?> connection;
        private final AtomicBoolean finished = new AtomicBoolean();

        OpenRequest(Connection<?> connection) {
            this.connection = connection;
        }

        @Override
        public void onAfterService(Request request) {
            request.getContext().notifyDownstream(TransportFilter.createFlushEvent(this));
        }

        @Override
        public void onClosed(Closeable closeable, ICloseType type) {
            finish();
        }

        @Override
        public void completed(Object result) {
            finish();
        }

        @Override
        public void failed(Throwable failure) {
            finish();
        }

        @Override
        public void cancelled() {
            finish();
        }

        private void finish() {
            if (finished.compareAndSet(false, true)) {
                connection.removeCloseListener(this);
                adjustCount(-1);
            }
        }
    }
}
