package org.jujubefork.entry.http;

import java.io.IOException;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.FilterChainEvent;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpEvents.IncomingHttpUpgradeEvent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.NetworkListener;

/**
 * Ignores {@code Upgrade} headers, so that a request with this header is served like one without.
 * The HTTP client of the JDK offers an upgrade to HTTP/2 with each request until the server answers
 * by HTTP/2. Without this add-on, Grizzly treats all bytes after such a request as data of the new
 * protocol and closes the connection after the response.
 */
final class IgnoreUpgradeAddOn implements AddOn {
    @Override
    public void setup(NetworkListener listener, FilterChainBuilder builder) {
        builder.add(builder.indexOfType(HttpServerFilter.class) + 1, new IgnoreUpgradeFilter());
    }

    private static final class IgnoreUpgradeFilter extends BaseFilter {
        @Override
        public NextAction handleEvent(FilterChainContext context, FilterChainEvent event)
                throws IOException {
            if (event instanceof IncomingHttpUpgradeEvent upgrade) {
                HttpHeader header = upgrade.getHttpHeader();
                header.getHeaders().removeHeader("Upgrade");
                header.getUpgradeDC().recycle();
                header.setIgnoreContentModifiers(false);
                return context.getStopAction();
            }
            return context.getInvokeAction();
        }
    }
}
