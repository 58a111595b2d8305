package org.jujubefork.config.edit;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/** Generates and hashes access keys. */
public final class AccessKeys {
    /** Prefix of every key, by which secret scanners recognize leaked keys. */
    public static final String PREFIX = "jj_";

    /** Number of random bytes in a key. */
    private static final int KEY_BYTE_COUNT = 32;

    private AccessKeys() {}

    /**
     * Returns a new key: {@link #PREFIX} and 32 random bytes in base64url without padding.
     *
     * @param random the source of randomness; a {@link java.security.SecureRandom} outside tests
     */
    public static String generate(RandomGenerator random) {
        byte[] bytes = new byte[KEY_BYTE_COUNT];
        random.nextBytes(bytes);
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    /** Returns the lower-case hexadecimal SHA-256 hash of {@code key} in UTF-8. */
    public static String hash(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
