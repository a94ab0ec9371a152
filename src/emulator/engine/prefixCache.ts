import murmurhash from "murmurhash";
import { computeDigest } from "../../base/ids.js";
import { emulatedBytesPerToken } from "./tokens.js";

/** A change of a prefix cache, before it gets a sequence number. */
export interface PrefixCacheChange {
    /** SHA-256 digest of the first {@link cachedPrefixLength} characters of the prompt. */
    readonly prefixDigest: string;
    readonly tokens: number;
    readonly stored: boolean;
}

/** The prefix cache of an emulated engine. */
export interface PrefixCache {
    /** Returns the tokens of the longest cached prefix of a prompt and marks its blocks as used. */
    find(prompt: string): number;
    /** Stores the whole blocks of a prompt. A full cache evicts its least recently used blocks. */
    add(prompt: string): readonly PrefixCacheChange[];
    getTokens(): number;
}

/** Characters in one block of the cache; the first block identifies a prompt in cache events. */
export const cachedPrefixLength = 2_048;
const blockTokens = cachedPrefixLength / emulatedBytesPerToken;

interface CachedBlock {
    /** Set on the first block of a prompt. */
    readonly prefixDigest: string | undefined;
}

/**
 * Creates an empty prefix cache that holds up to `maxTokens` tokens in whole blocks.
 *
 * @example
 * const cache = createPrefixCache(100_000);
 * cache.add(prompt);
 * cache.find(prompt); // tokens that need no prefill
 */
export function createPrefixCache(maxTokens: number): PrefixCache {
    const maxBlocks = Math.floor(maxTokens / blockTokens);
    // A map keeps insertion order. A block is inserted again when it is used, so the first is the least recently used.
    const blocks = new Map<string, CachedBlock>();

    function* listKeys(prompt: string): Generator<string> {
        let hash = 0;
        for (let end = cachedPrefixLength; end <= prompt.length; end += cachedPrefixLength) {
            // Each block's hash seeds the next, so that a block matches only after the same preceding blocks.
            hash = murmurhash.v3(prompt.slice(end - cachedPrefixLength, end), hash);
            yield `${end}.${hash}`;
        }
    }

    function markUsed(keys: readonly string[]) {
        // The last block is inserted first, so that it is evicted before the blocks that it depends on.
        for (const key of [...keys].reverse()) {
            const block = blocks.get(key)!;
            blocks.delete(key);
            blocks.set(key, block);
        }
    }

    function removeLeastRecentlyUsed(): PrefixCacheChange[] {
        const changes: PrefixCacheChange[] = [];
        for (const [key, { prefixDigest }] of blocks) {
            if (blocks.size <= maxBlocks) {
                break;
            }
            blocks.delete(key);
            if (prefixDigest !== undefined) {
                changes.push({ prefixDigest, tokens: blockTokens, stored: false });
            }
        }
        return changes;
    }

    return {
        find(prompt) {
            const found: string[] = [];
            for (const key of listKeys(prompt)) {
                if (!blocks.has(key)) {
                    break;
                }
                found.push(key);
            }
            markUsed(found);
            return found.length * blockTokens;
        },
        add(prompt) {
            const keys = [...listKeys(prompt)].slice(0, maxBlocks);
            const first = keys[0];
            if (first === undefined) {
                return [];
            }
            const prefixDigest = computeDigest(prompt.slice(0, cachedPrefixLength));
            const isNew = !blocks.has(first);
            keys.forEach((key, index) => blocks.set(key, { prefixDigest: index === 0 ? prefixDigest : undefined }));
            markUsed(keys);
            const stored = isNew ? [{ prefixDigest, tokens: keys.length * blockTokens, stored: true }] : [];
            return [...stored, ...removeLeastRecentlyUsed()];
        },
        getTokens: () => blocks.size * blockTokens,
    };
}
