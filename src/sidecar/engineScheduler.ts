import { AdmitKind, Scheduler, SchedulerPolicy, WorkItem } from "../scheduling/scheduler.js";

/** Engine state that the scheduler depends on. */
export interface EngineSchedulerParts {
    /** Whether a request with this fingerprint was running when an engine crashed. */
    isSuspect(fingerprint: string): boolean;
    /** Tokens of the engine's memory that are used by requests and exports unknown to the scheduler. */
    getUnaccountedTokens(): number;
}

/** Longest time that a suspect waits for an idle engine, in milliseconds. */
const maxIdleWaitMs = 500;
/** Longest time that a suspect waits for an idle engine, as a share of its remaining time. */
const idleWaitShare = 0.1;
/** Time after the start of a suspect for which no other request starts unless its first token comes earlier. */
const suspectIsolationMs = 250;

interface WaitingSuspect {
    readonly item: WorkItem;
    /** Time at which it starts even if the engine is busy. */
    readonly dueMs: number;
}

interface RunningSuspect {
    readonly item: WorkItem;
    readonly isolatedUntilMs: number;
}

function computeReservation(item: WorkItem): number {
    return item.promptTokens + item.maxOutputTokens;
}

/**
 * Wraps a scheduler so that it prefills crash suspects one at a time and respects memory that it does not account for.
 *
 * Suspects, the requests that were running when an engine crashed, are prefilled one at a time, so that another crash
 * shows which of them caused it. A crash also ends the other requests on the engine, so a suspect waits for an idle
 * engine and no other request starts during its prefill. Both times are bounded, and the suspect shares the engine from
 * its first token on, because an engine that crashes for another reason makes all its requests suspects. Running them
 * alone to their ends made two requests of 6 s time out after such a crash.
 *
 * Unaccounted memory delays starts but does not cause refusals, because the memory audit frees it.
 *
 * @example
 * const scheduler = createEngineScheduler(createFirstComeScheduler(policy), policy, supervisor);
 */
export function createEngineScheduler(
    inner: Scheduler,
    initialPolicy: SchedulerPolicy,
    parts: EngineSchedulerParts,
): Scheduler {
    let policy = initialPolicy;
    let waiting: WaitingSuspect[] = [];
    /** The running suspect that has not produced a token yet. */
    let prefillingSuspect: RunningSuspect | undefined;
    const prefilledSuspects = new Map<string, WorkItem>();

    function addSuspect(item: WorkItem, nowMs: number) {
        const waitMs = Math.min(maxIdleWaitMs, (item.deadlineMs - nowMs) * idleWaitShare);
        waiting.push({ item, dueMs: nowMs + waitMs });
    }

    function getSuspectTokens(): number {
        const running = [...prefilledSuspects.values(), ...(prefillingSuspect ? [prefillingSuspect.item] : [])];
        return running.reduce((sum, item) => sum + computeReservation(item), 0);
    }

    function hasCapacityFor(item: WorkItem): boolean {
        const running = countRunning();
        const usedTokens = inner.report().reservedTokens + getSuspectTokens() + parts.getUnaccountedTokens();
        const { memoryTokens, maxRunning } = policy.capacity;
        return running === 0 || (running < maxRunning && usedTokens + computeReservation(item) <= memoryTokens);
    }

    function countRunning(): number {
        return inner.report().running + prefilledSuspects.size + (prefillingSuspect ? 1 : 0);
    }

    function takeSuspect(nowMs: number): readonly WorkItem[] {
        const { item } = waiting.shift()!;
        prefillingSuspect = { item, isolatedUntilMs: nowMs + suspectIsolationMs };
        return [item];
    }

    /** Takes work from the inner scheduler, with its capacity reduced by the memory that it does not account for. */
    function takeFromInner(nowMs: number): readonly WorkItem[] {
        const reservedOutsideTokens = parts.getUnaccountedTokens() + getSuspectTokens();
        if (reservedOutsideTokens > 0) {
            const memoryTokens = Math.max(0, policy.capacity.memoryTokens - reservedOutsideTokens);
            inner.update({ ...policy, capacity: { ...policy.capacity, memoryTokens } });
        }
        const items = inner.takeNext(nowMs);
        if (reservedOutsideTokens > 0) {
            inner.update(policy);
        }
        const suspects = items.filter(item => parts.isSuspect(item.fingerprint));
        for (const item of suspects) {
            // The request became a suspect while it was queued.
            inner.complete(item.id, 0, nowMs);
            addSuspect(item, nowMs);
        }
        return items.filter(item => !suspects.includes(item));
    }

    return {
        admit(item, nowMs) {
            const decision = inner.admit(item, nowMs);
            if (decision.kind === AdmitKind.Queued && parts.isSuspect(item.fingerprint)) {
                inner.remove(item.id);
                addSuspect(item, nowMs);
            }
            return decision;
        },
        takeNext(nowMs) {
            if (prefillingSuspect && nowMs < prefillingSuspect.isolatedUntilMs) {
                return [];
            }
            const next = prefillingSuspect ? undefined : waiting[0];
            if (next && (countRunning() === 0 || nowMs >= next.dueMs)) {
                // Other requests do not start until there is enough memory for a suspect whose wait has ended.
                return hasCapacityFor(next.item) ? takeSuspect(nowMs) : [];
            }
            return takeFromInner(nowMs);
        },
        markFirstToken(id, nowMs) {
            if (prefillingSuspect?.item.id === id) {
                prefilledSuspects.set(id, prefillingSuspect.item);
                prefillingSuspect = undefined;
            }
            else {
                inner.markFirstToken(id, nowMs);
            }
        },
        complete(id, outputTokens, nowMs) {
            if (prefillingSuspect?.item.id === id) {
                prefillingSuspect = undefined;
            }
            else if (!prefilledSuspects.delete(id)) {
                inner.complete(id, outputTokens, nowMs);
            }
        },
        remove(id) {
            const isWaiting = waiting.some(({ item }) => item.id === id);
            waiting = waiting.filter(({ item }) => item.id !== id);
            return isWaiting || inner.remove(id);
        },
        expire(nowMs) {
            const expired = waiting.filter(({ item }) => item.deadlineMs <= nowMs);
            waiting = waiting.filter(({ item }) => item.deadlineMs > nowMs);
            return [...expired.map(({ item }) => item), ...inner.expire(nowMs)];
        },
        update(next) {
            policy = next;
            inner.update(next);
        },
        getPriority: item => inner.getPriority(item),
        report() {
            const report = inner.report();
            return {
                ...report,
                running: countRunning(),
                queued: report.queued + waiting.length,
                reservedTokens: report.reservedTokens + getSuspectTokens(),
            };
        },
    };
}
