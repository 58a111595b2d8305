package org.jujubefork.entry.http;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Serves the metrics of a registry in the Prometheus text format. */
public final class MetricsEndpoint implements Endpoint {
    private final PrometheusRegistry registry;
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

    /** Creates an endpoint that scrapes {@code registry} on each request. */
    public MetricsEndpoint(PrometheusRegistry registry) {
        this.registry = registry;
    }

    @Override
    public void handle(Exchange exchange, String path) throws IOException {
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        writer.write(page, registry.scrape());
        exchange.send(200, writer.getContentType(), page.toByteArray());
    }
}
