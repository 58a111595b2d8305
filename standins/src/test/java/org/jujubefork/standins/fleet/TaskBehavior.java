package org.jujubefork.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.OptionalLong;

/**
 * What a simulated task does, read from its payload or request body.
 *
 * @param runMillis run time in milliseconds; empty if the input does not say
 * @param fail whether it fails at its end
 * @param usageCpuMillis observed processor use; empty means the declared size
 * @param usageMemoryMb observed memory use; empty means the declared size
 * @param answerBytes length of the filler in a request's answer
 * @param echo text that a request's answer repeats
 * @param idempotencyKey recorded in the history
 */
record TaskBehavior(
        OptionalLong runMillis,
        boolean fail,
        String failMessage,
        OptionalLong usageCpuMillis,
        OptionalLong usageMemoryMb,
        int answerBytes,
        String echo,
        String idempotencyKey) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses an input; one that is no JSON object gives the default behaviour. */
    static TaskBehavior parse(byte[] input) {
        JsonNode node;
        try {
            node = MAPPER.readTree(input);
        } catch (IOException e) {
            node = MAPPER.createObjectNode();
        }
        return new TaskBehavior(
                number(node, "runMillis"),
                node.path("fail").asBoolean(false),
                node.path("failMessage").asText("failed as told"),
                number(node, "usageCpuMillis"),
                number(node, "usageMemoryMb"),
                Math.max(0, node.path("answerBytes").asInt(0)),
                node.path("echo").asText(""),
                node.path("idempotencyKey").asText(""));
    }

    private static OptionalLong number(JsonNode node, String name) {
        return node.path(name).isIntegralNumber()
                ? OptionalLong.of(node.path(name).longValue())
                : OptionalLong.empty();
    }
}
