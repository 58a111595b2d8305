package org.jujubefork.entry.peer;

import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.jboss.logging.Logger;

/**
 * Splits the byte stream of a connection into frames and encodes outgoing frames. If a frame
 * violates the protocol, sends a {@link PeerMessage.ProtocolError} and closes the connection.
 */
@SuppressWarnings({
    "rawtypes",
    "unchecked"
}) // Connection.write takes a handler of the raw WriteResult
final class FrameFilter extends BaseFilter {
    private static final Logger log = Logger.getLogger(FrameFilter.class);

    private final SentBytesCounter sentBytesCounter;

    FrameFilter(SentBytesCounter sentBytesCounter) {
        this.sentBytesCounter = sentBytesCounter;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer input = context.getMessage();
        if (input.remaining() < Integer.BYTES) {
            return context.getStopAction(input);
        }
        int length = input.getInt(input.position());
        if (length < 0 || length > Frame.MAX_BYTES) {
            return reject(
                    context, "frame length " + length + " is not between 0 and " + Frame.MAX_BYTES);
        }
        if (input.remaining() < Integer.BYTES + length) {
            return context.getStopAction(input);
        }
        input.getInt();
        byte[] bytes = new byte[length];
        input.get(bytes);
        Buffer remainder = input.remaining() > 0 ? input.split(input.position()) : null;
        input.tryDispose();
        try {
            context.setMessage(FrameCodec.decode(bytes));
        } catch (ProtocolException e) {
            return reject(context, e.getMessage());
        }
        return remainder == null ? context.getInvokeAction() : context.getInvokeAction(remainder);
    }

    @Override
    public NextAction handleWrite(FilterChainContext context) {
        Frame frame = context.getMessage();
        byte[] bytes = FrameCodec.encode(frame);
        sentBytesCounter.count(
                context.getConnection(), frame.message(), Integer.BYTES + (long) bytes.length);
        Buffer output = context.getMemoryManager().allocate(Integer.BYTES + bytes.length);
        output.putInt(bytes.length);
        output.put(bytes);
        output.flip();
        output.allowBufferDispose(true);
        context.setMessage(output);
        return context.getInvokeAction();
    }

    private static NextAction reject(FilterChainContext context, String reason) {
        log.warnf("event=peer-refused from=%s reason=\"%s\"", context.getAddress(), reason);
        reject(
                (Connection<?>) context.getConnection(),
                Frame.of(new PeerMessage.ProtocolError(reason)));
        return context.getStopAction();
    }

    private static <A> void reject(Connection<A> connection, Frame error) {
        // Writing to the filter's context would skip this filter, so the frame would not be
        // encoded.
        connection.write(
                error,
                new EmptyCompletionHandler<WriteResult<Frame, A>>() {
                    @Override
                    public void completed(WriteResult<Frame, A> result) {
                        connection.closeSilently();
                    }

                    @Override
                    public void failed(Throwable failure) {
                        connection.terminateSilently();
                    }
                });
    }
}
