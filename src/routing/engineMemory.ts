import murmurhash from "murmurhash";
import { WorkItem, WorkPhase } from "./loadLedger.js";

/**
 * Time after which a gateway knows what the others have placed until then, in milliseconds: three times the delay that
 * messages between gateways of a cell are expected to have at most.
 */
export const settleMs = 20;
/**
 * Items that begin within this time of each other are decided by priority, in milliseconds. Both gateways know both items
 * when they decide: the difference as it appears is off by one delay, and the message takes another.
 */
const concurrentMs = 8;
/** Ending of the keys of work that may still be withdrawn. Gateways of older versions count it like other work. */
const tentativeSuffix = "?";

/**
 * Makes the key of work that is announced to the other gateways and not sent yet.
 *
 * @example
 * makeTentativeKey("a1b2/7"); // "a1b2/7?"
 */
export function makeTentativeKey(key: string): string {
    return key + tentativeSuffix;
}

/**
 * Returns whether work takes a slot of its endpoint. Memory for answers that may become longer than expected does not: it is
 * an item of its own, without a prompt to prefill and without events.
 *
 * @example
 * ledger.listAt("engine-1", nowMs).filter(isTakingSlot).length;
 */
export function isTakingSlot({ gapTargetMs, phase }: WorkItem): boolean {
    return gapTargetMs !== undefined || phase === WorkPhase.Prefill;
}

/**
 * Returns whether work must be announced to the other gateways before it is sent. Load pattern: several gateways that choose
 * the same engine within the delay of one message.
 *
 * Each gateway may use an equal part of the free memory unannounced in the time that a message takes; all together then
 * need no more than is free.
 *
 * @param recentTokens memory that this gateway has assigned at the engine within `settleMs`, which is not part of `freeTokens`
 *
 * @example
 * isAnnouncementNeeded(18_000, 100_000, 0, 8); // true: eight gateways at once would need 144,000
 */
export function isAnnouncementNeeded(
    tokens: number,
    freeTokens: number,
    recentTokens: number,
    gateways: number,
): boolean {
    return gateways > 1 && (recentTokens + tokens) * gateways > freeTokens + recentTokens;
}

/**
 * Returns whether announced work fits into the memory of its engine, together with all other work there except announced work
 * that began at about the same time and has a lower priority. Its gateway comes to the opposite result about that work.
 *
 * @example
 * isFitting(item, ledger.listAt("engine-1", nowMs), engine.memoryTokens);
 */
export function isFitting(item: WorkItem, items: readonly WorkItem[], memoryTokens: number): boolean {
    const priority = murmurhash.v3(item.key);
    const yields = (other: WorkItem) =>
        other.key.endsWith(tentativeSuffix) && other.phase === WorkPhase.Prefill
        && Math.abs(other.phaseSinceMs - item.phaseSinceMs) < concurrentMs
        && murmurhash.v3(other.key) < priority;
    const counted = items.filter(other => other.key !== item.key && !yields(other));
    return counted.reduce((sum, other) => sum + other.tokens, item.tokens) <= memoryTokens;
}
