package org.jujubefork.standins.proof;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.jujubefork.core.model.Resources;

/** Changes the configuration of a small cell. */
final class ConfigurationTexts {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ConfigurationTexts() {}

    /** Withdraws the key of a team. */
    static String withoutKeyOf(String base, String team) throws IOException {
        ObjectNode root = (ObjectNode) MAPPER.readTree(base);
        ArrayNode kept = MAPPER.createArrayNode();
        for (JsonNode key : root.path("keys")) {
            if (!key.path("team").asText().equals(team)) {
                kept.add(key);
            }
        }
        root.set("keys", kept);
        return root.toString();
    }

    static String withWeight(String base, String team, double weight) throws IOException {
        ObjectNode root = (ObjectNode) MAPPER.readTree(base);
        for (JsonNode node : root.path("teams")) {
            if (node.path("name").asText().equals(team)) {
                ((ObjectNode) node).put("weight", weight);
            }
        }
        return root.toString();
    }

    static String withLimit(String base, String team, Resources limit) throws IOException {
        ObjectNode root = (ObjectNode) MAPPER.readTree(base);
        for (JsonNode node : root.path("teams")) {
            if (node.path("name").asText().equals(team)) {
                ((ObjectNode) node.path("limit"))
                        .put("cpuMillis", limit.cpuMillis())
                        .put("memoryMb", limit.memoryMb());
            }
        }
        return root.toString();
    }
}
