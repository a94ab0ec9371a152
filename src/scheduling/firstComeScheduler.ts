import { ErrorCode } from "../base/requestError.js";
import { AdmitKind, Scheduler, SchedulerPolicy, WorkItem } from "./scheduler.js";

/**
 * Creates a scheduler that starts work in order of arrival, regardless of rank, customer and length. It serves as the
 * baseline for benchmarks.
 *
 * @example
 * const scheduler = createFirstComeScheduler(policy);
 */
export function createFirstComeScheduler(initialPolicy: SchedulerPolicy): Scheduler {
    let policy = initialPolicy;
    const queue: WorkItem[] = [];
    const running = new Map<string, WorkItem>();
    const prefilling = new Set<string>();
    let queuedBytes = 0;
    let reservedTokens = 0;

    function computeReservation(item: WorkItem) {
        return item.promptTokens + item.maxOutputTokens;
    }

    function takeAt(index: number): WorkItem | undefined {
        const [item] = queue.splice(index, 1);
        queuedBytes -= item?.bodyBytes ?? 0;
        return item;
    }

    return {
        admit(item) {
            if (computeReservation(item) > policy.capacity.memoryTokens) {
                return {
                    kind: AdmitKind.Refused,
                    code: ErrorCode.PromptTooLarge,
                    message: "the prompt and its output exceed the endpoint's memory",
                    largestPromptTokens: Math.max(0, policy.capacity.memoryTokens - item.maxOutputTokens),
                };
            }
            if (queue.length >= policy.maxQueuedRequests || queuedBytes + item.bodyBytes > policy.maxQueuedBytes) {
                return { kind: AdmitKind.Refused, code: ErrorCode.Overloaded, message: "the endpoint's queue is full" };
            }
            queue.push(item);
            queuedBytes += item.bodyBytes;
            return { kind: AdmitKind.Queued, position: queue.length - 1, dropped: [] };
        },
        takeNext() {
            const started: WorkItem[] = [];
            for (let head = queue[0]; head; head = queue[0]) {
                const reservation = computeReservation(head);
                if (
                    running.size >= policy.capacity.maxRunning
                    || reservedTokens + reservation > policy.capacity.memoryTokens
                ) {
                    break;
                }
                takeAt(0);
                reservedTokens += reservation;
                running.set(head.id, head);
                prefilling.add(head.id);
                started.push(head);
            }
            return started;
        },
        markFirstToken(id) {
            prefilling.delete(id);
        },
        complete(id) {
            const item = running.get(id);
            if (item && running.delete(id)) {
                prefilling.delete(id);
                reservedTokens -= computeReservation(item);
            }
        },
        remove(id) {
            const index = queue.findIndex(item => item.id === id);
            return index >= 0 && takeAt(index) !== undefined;
        },
        expire(nowMs) {
            const expired = queue.filter(item => item.deadlineMs <= nowMs);
            for (const item of expired) {
                takeAt(queue.indexOf(item));
            }
            return expired;
        },
        update(next) {
            policy = next;
        },
        getPriority: () => 0,
        report() {
            const pending = [...queue, ...[...prefilling].map(id => running.get(id)!)];
            return {
                running: running.size,
                queued: queue.length,
                queuedBytes,
                pendingPrefillTokens: pending.reduce((sum, item) => sum + item.promptTokens - item.cachedTokens, 0),
                reservedTokens,
                largestRequestTokens: policy.capacity.memoryTokens,
                ranks: policy.ranks.map(rank => {
                    const items = queue.filter(item => item.rank === rank.name);
                    return {
                        rank: rank.name,
                        queued: items.length,
                        queuedTokens: items.reduce((sum, item) => sum + item.promptTokens, 0),
                    };
                }),
                acceptsLongPrompts: true,
            };
        },
    };
}
