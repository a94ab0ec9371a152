import { AdmitKind, Scheduler, WorkItem } from "../scheduling/scheduler.js";

/**
 * Wraps a scheduler so that a suspect of a crash runs alone: it starts once nothing else runs, and nothing else starts
 * before it has ended. A crash then shows whether the suspect caused it, and costs no other request.
 *
 * @param isSuspect whether a fingerprint must run alone now
 *
 * @example
 * const scheduler = createIsolatingScheduler(createFirstComeScheduler(policy), fingerprint => suspects.has(fingerprint));
 */
export function createIsolatingScheduler(inner: Scheduler, isSuspect: (fingerprint: string) => boolean): Scheduler {
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
        const items = inner.takeNext(nowMs);
        const suspects = items.filter(item => isSuspect(item.fingerprint));
        for (const item of suspects) {
            inner.complete(item.id, 0, nowMs);
            waiting.push(item);
        }
        return items.filter(item => !suspects.includes(item));
    }

    return {
        admit(item, nowMs) {
            const decision = inner.admit(item, nowMs);
            if (decision.kind === AdmitKind.Queued && isSuspect(item.fingerprint)) {
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
        update: policy => inner.update(policy),
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
