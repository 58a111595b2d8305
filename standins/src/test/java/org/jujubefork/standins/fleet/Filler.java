package org.jujubefork.standins.fleet;

import java.util.SplittableRandom;

/** The filler of an answer: letters that follow from the request's echo value. */
public final class Filler {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final SplittableRandom random;

    public Filler(String echo) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < echo.length(); i++) {
            hash = (hash ^ echo.charAt(i)) * FNV_PRIME;
        }
        random = new SplittableRandom(hash);
    }

    /** Returns the next {@code length} letters, one byte each. */
    public byte[] next(int length) {
        byte[] letters = new byte[length];
        for (int i = 0; i < length; i++) {
            letters[i] = (byte) ('a' + random.nextInt(26));
        }
        return letters;
    }

    /** Returns whether {@code text} is the whole filler of {@code length} for {@code echo}. */
    public static boolean matches(String echo, int length, String text) {
        if (text.length() != length) {
            return false;
        }
        byte[] expected = new Filler(echo).next(length);
        for (int i = 0; i < length; i++) {
            if (text.charAt(i) != expected[i]) {
                return false;
            }
        }
        return true;
    }
}
