import { AdmitKind, Scheduler, SchedulerPolicy, WorkItem } from "../scheduling/scheduler.js";

/** What the order of work takes from the engine's state. */
export interface EngineSchedulerParts {
    /** Whether a fingerprint must run alone now. */
    isSuspect(fingerprint: string): boolean;
    /** Tokens of the engine's memory that no scheduled request accounts for. */
    getForeignTokens(): number;
}

/**
 * Wraps a scheduler for an engine.
 *
 * A suspect of a crash runs alone: it starts once nothing else runs, and nothing else starts before it has ended. A
 * crash then shows whether the suspect caused it, and costs no other request. Memory that others use delays starts but
 * refuses no prompt, because the audit gives it back.
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
    let waiting: WorkItem[] = [];
    let alone: WorkItem | undefined;

    function takeSuspect(): readonly WorkItem[] {
        if (inner.report().running === 0) {
            alone = waiting.shift();
        }
        return alone ? [alone] : [];
    }

    /** Starts what the inner scheduler allows, but for items that have become suspects in its queue. */
    function takeOthers(nowMs: number): readonly WorkItem[] {
        const foreignTokens = parts.getForeignTokens();
        if (foreignTokens > 0) {
            const memoryTokens = Math.max(0, policy.capacity.memoryTokens - foreignTokens);
            inner.update({ ...policy, capacity: { ...policy.capacity, memoryTokens } });
        }
        const items = inner.takeNext(nowMs);
        if (foreignTokens > 0) {
            inner.update(policy);
        }
        const suspects = items.filter(item => parts.isSuspect(item.fingerprint));
        for (const item of suspects) {
            inner.complete(item.id, 0, nowMs);
            waiting.push(item);
        }
        return items.filter(item => !suspects.includes(item));
    }

    return {
        admit(item, nowMs) {
            const decision = inner.admit(item, nowMs);
            if (decision.kind === AdmitKind.Queued && parts.isSuspect(item.fingerprint)) {
                inner.remove(item.id);
                waiting.push(item);
            }
            return decision;
        },
        takeNext(nowMs) {
            if (alone) {
                return [];
            }
            if (waiting.length > 0) {
                return takeSuspect();
            }
            const items = takeOthers(nowMs);
            return items.length === 0 && waiting.length > 0 ? takeSuspect() : items;
        },
        markFirstToken(id, nowMs) {
            if (alone?.id !== id) {
                inner.markFirstToken(id, nowMs);
            }
        },
        complete(id, outputTokens, nowMs) {
            if (alone?.id === id) {
                alone = undefined;
            }
            else {
                inner.complete(id, outputTokens, nowMs);
            }
        },
        remove(id) {
            const isWaiting = waiting.some(item => item.id === id);
            waiting = waiting.filter(item => item.id !== id);
            return isWaiting || inner.remove(id);
        },
        expire(nowMs) {
            const expired = waiting.filter(item => item.deadlineMs <= nowMs);
            waiting = waiting.filter(item => item.deadlineMs > nowMs);
            return [...expired, ...inner.expire(nowMs)];
        },
        update(next) {
            policy = next;
            inner.update(next);
        },
        getPriority: item => inner.getPriority(item),
        report() {
            const report = inner.report();
            const reserved = alone ? alone.promptTokens + alone.maxOutputTokens : 0;
            return {
                ...report,
                running: report.running + (alone ? 1 : 0),
                queued: report.queued + waiting.length,
                reservedTokens: report.reservedTokens + reserved,
            };
        },
    };
}
