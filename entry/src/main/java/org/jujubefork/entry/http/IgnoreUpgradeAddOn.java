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
 * Declines offers of another protocol, so that a request with an {@code Upgrade} header is served
 * like one without. The HTTP client of the JDK makes such an offer with each request until it is
 * answered by HTTP/2. Grizzly takes all that follows such a request for data of the new protocol,
 * and ends the connection after the response.
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
            if (event instanceof IncomingHttpUpgradeEvent offer) {
                HttpHeader header = offer.getHttpHeader();
                header.getHeaders().removeHeader("Upgrade");
                header.getUpgradeDC().recycle();
                header.setIgnoreContentModifiers(false);
                return context.getStopAction();
            }
            return context.getInvokeAction();
        }
    }
}
