package org.gooseberryhill;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

/** Changes bytes of valid values, as damage and other writers may. Stateless. */
public final class MutatedBytes {
    private static final int MAX_MUTATIONS = 4;
    private static final int MAX_REMOVED_BYTES = 8;
    private static final List<byte[]> ODD_PIECES = List.of(
            bytes("null"),
            bytes("{}"),
            bytes("[]"),
            bytes("\""),
            bytes("-1"),
            bytes("18446744073709551621"),
            bytes("1e400"),
            bytes("[".repeat(250)),
            bytes("{\"a\":".repeat(250)),
            new byte[] {(byte) 0xc0, (byte) 0x80},
            new byte[] {(byte) 0xdf, -1, -1, -1, -1},
            new byte[] {(byte) 0xdd, Byte.MAX_VALUE, -1, -1, -1},
            new byte[] {(byte) 0xdb, Byte.MAX_VALUE, -1, -1, -1},
            new byte[] {(byte) 0xc6, Byte.MAX_VALUE, -1, -1, -1});

    private MutatedBytes() {}

    /** Returns a copy in which some bytes are replaced, removed or added. */
    public static byte[] of(byte[] valid, Random random) {
        byte[] mutated = valid;
        for (int mutation = random.nextInt(MAX_MUTATIONS); mutation >= 0; mutation--) {
            mutated = mutate(mutated, random);
        }
        return mutated;
    }

    private static byte[] mutate(byte[] bytes, Random random) {
        int from = random.nextInt(bytes.length + 1);
        int removed = Math.min(bytes.length - from, random.nextInt(MAX_REMOVED_BYTES));
        byte[] added = random.nextBoolean()
                ? ODD_PIECES.get(random.nextInt(ODD_PIECES.size()))
                : new byte[] {(byte) random.nextInt()};
        ByteArrayOutputStream mutated = new ByteArrayOutputStream();
        mutated.write(bytes, 0, from);
        mutated.writeBytes(added);
        mutated.write(bytes, from + removed, bytes.length - from - removed);
        return mutated.toByteArray();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
