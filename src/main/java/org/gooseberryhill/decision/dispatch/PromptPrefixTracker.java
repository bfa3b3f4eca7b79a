package org.gooseberryhill.decision.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Tracks which prompt prefixes the endpoints have processed for this host and so probably hold in their prefix caches.
 * Not thread-safe; bounded.
 *
 * <p>Guards against repeated processing of the same prompt prefix: requests that share a prefix would go to a new
 * endpoint each time, and each endpoint would process the prefix again while other requests wait. Requests sent by
 * other hosts are not tracked; with many hosts, each host uses its own endpoints for a prefix, which costs some
 * repeated prefills but no messages.
 *
 * <p>Invariant: a part counts as cached only if all parts before it are, since an engine can reuse it only then.
 */
final class PromptPrefixTracker {
    /**
     * Some hundred prefixes for each of some hundred endpoints. The least recently used are evicted, as engines evict
     * them too.
     */
    private static final int MAX_PREFIXES = 50_000;

    private static final int HASH_FACTOR = 31;

    private final Map<CachedPrefix, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<CachedPrefix, Boolean> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /** Records that a request with this prompt was sent to an endpoint. */
    void requestSent(EndpointKey endpoint, Prompt prompt) {
        long prefixHash = prompt.model().hashCode();
        for (PromptPart part : prompt.parts()) {
            prefixHash = extendHash(prefixHash, part);
            prefixes.put(new CachedPrefix(endpoint, prefixHash), Boolean.TRUE);
        }
    }

    /** Returns how many tokens of a prompt an endpoint would have to process because no cached prefix covers them. */
    int prefillTokens(EndpointKey endpoint, Prompt prompt) {
        int uncached = prompt.promptTokens();
        long prefixHash = prompt.model().hashCode();
        for (PromptPart part : prompt.parts()) {
            prefixHash = extendHash(prefixHash, part);
            if (!prefixes.containsKey(new CachedPrefix(endpoint, prefixHash))) {
                break;
            }
            uncached -= part.tokens();
        }
        return Math.max(0, uncached);
    }

    private static long extendHash(long prefixHash, PromptPart part) {
        return HASH_FACTOR * (HASH_FACTOR * prefixHash + part.id().hashCode()) + part.tokens();
    }

    /** A prompt prefix, identified by its hash, at an endpoint. */
    private record CachedPrefix(EndpointKey endpoint, long hash) {
        @Override
        public boolean equals(Object other) {
            return other instanceof CachedPrefix that && hash == that.hash && endpoint.equals(that.endpoint);
        }

        @Override
        public int hashCode() {
            return HASH_FACTOR * endpoint.hashCode() + Long.hashCode(hash);
        }
    }
}
