package org.jujubefork.standins.cell;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls the control endpoints of simulated services and the HTTP pages of entries. */
final class ControlClient {
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

    private ControlClient() {}

    /**
     * Sends a POST request without a body and returns the JSON response.
     *
     * @throws IOException if the status is not 200
     */
    static JsonNode post(int port, String pathAndQuery) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + pathAndQuery))
                        .timeout(REQUEST_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        HttpResponse<byte[]> response = HTTP.send(request, HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() != 200) {
            throw new IOException(pathAndQuery + " returned status " + response.statusCode());
        }
        return new ObjectMapper().readTree(response.body());
    }

    /** Returns the response body of a GET request, whatever its status. */
    static String fetchText(String address, String path) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(REQUEST_TIMEOUT)
                        .build();
        return HTTP.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }
}
