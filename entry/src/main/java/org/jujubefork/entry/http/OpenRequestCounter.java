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
 * Counts requests from their arrival until their response is written to the connection, or the
 * connection is closed.
 */
final class OpenRequestCounter {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition none = lock.newCondition();
    private int count;

    /** Counts {@code request}, which has just arrived. */
    void add(Request request) {
        change(1);
        Connection<?> connection = request.getContext().getConnection();
        OpenRequest open = new OpenRequest(connection);
        connection.addCloseListener(open);
        request.addAfterServiceListener(open);
    }

    /** Returns how many requests are open. */
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
     * @return false if {@code bound} passed before
     */
    boolean awaitZero(Duration bound) throws InterruptedException {
        long left = bound.toNanos();
        lock.lockInterruptibly();
        try {
            while (count > 0 && left > 0) {
                left = none.awaitNanos(left);
            }
            return count == 0;
        } finally {
            lock.unlock();
        }
    }

    private void change(int by) {
        lock.lock();
        try {
            count += by;
            if (count == 0) {
                none.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** One request; ends once, with the flush of its response or the end of its connection. */
    private final class OpenRequest extends EmptyCompletionHandler<Object>
            implements AfterServiceListener, CloseListener<Closeable, ICloseType> {
        private final Connection<?> connection;
        private final AtomicBoolean ended = new AtomicBoolean();

        OpenRequest(Connection<?> connection) {
            this.connection = connection;
        }

        @Override
        public void onAfterService(Request request) {
            request.getContext().notifyDownstream(TransportFilter.createFlushEvent(this));
        }

        @Override
        public void onClosed(Closeable closeable, ICloseType type) {
            end();
        }

        @Override
        public void completed(Object result) {
            end();
        }

        @Override
        public void failed(Throwable failure) {
            end();
        }

        @Override
        public void cancelled() {
            end();
        }

        private void end() {
            if (ended.compareAndSet(false, true)) {
                connection.removeCloseListener(this);
                change(-1);
            }
        }
    }
}
