package org.gooseberryhill.entry;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.job.ChunkRecord;
import org.gooseberryhill.decision.job.JobRecord;
import org.gooseberryhill.http.HttpCall;

/**
 * Streams a job's results chunk by chunk. One chunk is in memory at a time: the next is fetched once the previous one
 * is written to the caller's connection.
 *
 * <p>Invariant: lines are in item order without gaps. If a chunk can't be fetched, the stream is aborted, and the
 * caller can resume from the offset that it has reached.
 */
final class ResultStream {
    private static final long RETRY_AFTER_MILLIS = 2000;
    private static final int MAX_WRITE_BYTES = 1024 * 1024;

    private final EntryContext context;
    private final HttpCall call;
    private final JobRecord job;
    private final List<ChunkRecord> chunks;
    private final int offset;

    ResultStream(EntryContext context, HttpCall call, JobRecord job, List<ChunkRecord> chunks, int offset) {
        this.context = context;
        this.call = call;
        this.job = job;
        this.chunks = chunks;
        this.offset = offset;
    }

    void begin(String requestId) {
        Map<String, String> headers =
                Map.of("content-type", "application/x-ndjson", "x-job-items", Integer.toString(job.items()));
        if (chunks.isEmpty()) {
            call.reply(200, headers, new byte[0]);
            return;
        }
        fetch(0).whenComplete((content, failure) -> {
            if (failure != null || content.isEmpty()) {
                Refusal refusal = Refusal.notRun(
                        ErrorCode.PLATFORM_UNAVAILABLE, "no store that answers has the results", RETRY_AFTER_MILLIS);
                ErrorResponse.reply(call, requestId, refusal);
                return;
            }
            call.beginStream(200, headers);
            write(0, skipToOffset(content.get()));
        });
    }

    /**
     * Writes a chunk in pieces, each after the previous one, since a whole chunk may exceed the write buffer's limit.
     */
    private void write(int chunk, byte[] lines) {
        byte[] piece = Arrays.copyOfRange(lines, 0, Math.min(MAX_WRITE_BYTES, lines.length));
        call.write(piece).whenComplete((done, failure) -> {
            if (failure != null) {
                return;
            }
            if (piece.length < lines.length) {
                write(chunk, Arrays.copyOfRange(lines, piece.length, lines.length));
            } else if (chunk + 1 == chunks.size()) {
                call.endStream();
            } else {
                fetch(chunk + 1).whenComplete((content, fetchFailure) -> {
                    if (fetchFailure != null || content.isEmpty()) {
                        call.abortStream();
                    } else {
                        write(chunk + 1, content.get());
                    }
                });
            }
        });
    }

    private CompletableFuture<Optional<byte[]>> fetch(int chunk) {
        return context.process().segments().get(chunks.get(chunk).segment());
    }

    private byte[] skipToOffset(byte[] content) {
        int linesToSkip = offset % job.chunkItems();
        int start = 0;
        for (int line = 0; line < linesToSkip && start < content.length; start++) {
            if (content[start] == '\n') {
                line++;
            }
        }
        return Arrays.copyOfRange(content, start, content.length);
    }
}
