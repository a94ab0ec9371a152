import { AdmitKind, Scheduler, SchedulerPolicy, WorkItem } from "../scheduling/scheduler.js";

/** What the order of work takes from the engine's state. */
export interface EngineSchedulerParts {
    /** Whether a fingerprint ran when an engine crashed. */
    isSuspect(fingerprint: string): boolean;
    /** Tokens of the engine's memory that no scheduled request accounts for. */
    getUnaccountedTokens(): number;
}

/** Longest time that a suspect waits for an idle engine, in milliseconds, and as a share of its remaining time. */
const maxIdleWaitMs = 500;
const idleWaitShare = 0.1;
/** Time for which nothing else starts beside a suspect unless its first token comes earlier, in milliseconds. */
const suspectIsolationMs = 250;

interface WaitingSuspect {
    readonly item: WorkItem;
    /** When it starts although the engine is busy. */
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
 * Wraps a scheduler for an engine.
 *
 * Suspects of a crash pass their prefill one at a time, so that another crash shows which of them caused it. A suspect
 * prefers an idle engine, and nothing starts beside it at first, because a crash costs what runs beside it; but it
 * waits only a part of its time and shares the engine from its first token on, because all that ran on an engine that
 * died of another cause are suspects too. Running them alone to their ends made two of 6 s time out after such a death.
 *
 * Memory that nobody scheduled delays starts but refuses no prompt, because the audit gives it back.
 *
 * @example
 * const scheduler = createEngineScheduler(createFirstComeScheduler(policy), policy, engineSide);
 */
export function createEngineScheduler(
    inner: Scheduler,
    initialPolicy: SchedulerPolicy,
    parts: EngineSchedulerParts,
): Scheduler {
    let policy = initialPolicy;
    let waiting: WaitingSuspect[] = [];
    /** The suspect that has not produced a token yet. */
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

    /** Starts what the inner scheduler allows beside the memory that it does not know of. */
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
            // It became a suspect while it was queued.
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
                // Nothing else starts until there is room for a suspect that is due.
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
