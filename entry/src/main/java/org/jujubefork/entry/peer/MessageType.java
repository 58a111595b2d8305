package org.jujubefork.entry.peer;

/** Type of a message, encoded as one byte in the header of a frame. */
enum MessageType {
    HELLO(1),
    GOSSIP(2),
    PROBE(3),
    PROBE_REPLY(4),
    FORWARD(5),
    BODY_CHUNK(6),
    RESPONSE_CHUNK(7),
    RESPONSE_COMPLETE(8),
    RESPONSE_END(9),
    CREDIT(10),
    CANCEL(11),
    CONFIGURATION_FETCH(12),
    CONFIGURATION_PART(13),
    PROTOCOL_ERROR(14),
    VIEW_FETCH(15),
    VIEW_PART(16);

    private final int code;

    MessageType(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    static MessageType ofCode(int code) throws ProtocolException {
        for (MessageType type : values()) {
            if (type.code == code) {
                return type;
            }
        }
        throw new ProtocolException("unknown message type " + code);
    }
}
