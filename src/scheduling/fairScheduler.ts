import { ErrorCode } from "../base/requestError.js";
import { createBacklog } from "./backlog.js";
import { createCustomerQueue, CustomerQueue } from "./customerQueue.js";
import { computeLengthClass, LengthClass, lengthClassCount } from "./lengthClass.js";
import { createMemoryLedger, MemoryCheck } from "./memoryLedger.js";
import { createOrderedHeap } from "./orderedHeap.js";
import { predictWaitMs } from "./predictWaitMs.js";
import { computeQueueIndex, createPrefillModel } from "./prefillModel.js";
import { QueueEntry } from "./queueEntry.js";
import { AdmitDecision, AdmitKind, RankPolicy, Scheduler, SchedulerPolicy, WorkItem } from "./scheduler.js";
import { buildSchedulerReport } from "./schedulerReport.js";
import { createServiceEstimate } from "./serviceEstimate.js";
import { createServiceShares } from "./serviceShares.js";
import { createWaitCorrection, WaitCorrection } from "./waitCorrection.js";

/**
 * Prefill work that may be pending at the engine when an entry of the same priority starts, in milliseconds at the
 * engine's prefill rate. It keeps the engine busy until the next start reaches it. A larger value would let the
 * engine's order replace the scheduler's.
 */
const prefillAheadMs = 100;
/** Share of the rank's queued work that is expected to be served before a refused or dropped request is retried. */
const retryQueueShare = 0.1;
const minRetryAfterMs = 1_000;
const millisecondsPerSecond = 1000;

interface RunningEntry {
    readonly entry: QueueEntry;
    readonly startedMs: number;
}

/** State of one pass over the queues. */
interface StartPass {
    readonly nowMs: number;
    readonly started: WorkItem[];
    /** Memory set aside for the first entry in the pass that did not fit, in tokens. */
    heldTokens: number;
}

/** What a queue precedes when it has received less than its guaranteed share. */
enum Precedence {
    None = 0,
    /** Shorter prompts of its rank. */
    LengthClass = 1,
    /** More urgent ranks. */
    Rank = 2,
}

/**
 * Creates the scheduler of an endpoint. Ranks have strict priority by urgency, with a guaranteed minimum share each.
 * Inside a rank and length class, customers are served by fair queueing. Memory is reserved before an entry starts, and
 * an entry is admitted only if its time limit can be met.
 *
 * @example
 * const scheduler = createFairScheduler(policy);
 * scheduler.admit(item, nowMs);
 * const started = scheduler.takeNext(nowMs);
 */
export function createFairScheduler(initialPolicy: SchedulerPolicy): Scheduler {
    let policy = initialPolicy;
    let ranks: readonly RankPolicy[] = [];
    let rankIndexes = new Map<string, number>();
    let queues: CustomerQueue[] = [];
    let corrections: WaitCorrection[] = [];
    let backlog = createBacklog(initialPolicy);
    const queued = new Map<string, QueueEntry>();
    const running = new Map<string, RunningEntry>();
    const expiring = createOrderedHeap<QueueEntry>((left, right) => left.latestStartMs - right.latestStartMs);
    const prefill = createPrefillModel();
    const shares = createServiceShares();
    const ledger = createMemoryLedger();
    const estimate = createServiceEstimate();
    let nextOrder = 0;
    let runningSuspects = 0;

    const getWeight = (customer: string) => Math.max(Number.EPSILON, policy.getWeight?.(customer) ?? 1);
    const hasBacklog = (queueIndex: number) =>
        (queues[queueIndex]?.getSize() ?? 0) > 0 || prefill.countInPrefill(queueIndex) > 0;

    function getRankIndex(rank: string): number {
        // A rank that this process does not know yet is treated as the least urgent one.
        return rankIndexes.get(rank) ?? Math.max(0, ranks.length - 1);
    }

    function makeEntry(item: WorkItem, order: number, nowMs: number): QueueEntry {
        const prefillTokens = Math.max(0, item.promptTokens - item.cachedTokens);
        const { prefillMs, outputMs, endpointMs } = estimate.compute(item, policy.capacity);
        return {
            item,
            order,
            admittedMs: nowMs,
            rankIndex: getRankIndex(item.rank),
            lengthClass: policy.isSuspect?.(item.fingerprint) ? LengthClass.Suspect : computeLengthClass(prefillTokens),
            cost: policy.cost(item),
            prefillTokens,
            reservedTokens: item.promptTokens + item.maxOutputTokens,
            endpointMs,
            predictedWaitMs: 0,
            latestStartMs: item.deadlineMs - prefillMs - outputMs,
        };
    }

    function enqueue(entry: QueueEntry) {
        queued.set(entry.item.id, entry);
        queues[computeQueueIndex(entry)]!.enqueue(entry);
        backlog.enqueue(entry);
        expiring.enqueue(entry);
    }

    function removeQueued(entry: QueueEntry) {
        queued.delete(entry.item.id);
        queues[computeQueueIndex(entry)]!.remove(entry);
        backlog.remove(entry);
        expiring.remove(entry);
    }

    function applyRanks(next: readonly RankPolicy[]) {
        ranks = [...next].sort((left, right) => left.urgency - right.urgency);
        rankIndexes = new Map(ranks.map((rank, index) => [rank.name, index]));
        const queueCount = Math.max(1, ranks.length) * lengthClassCount;
        const entries = [...queued.values()];
        queues = Array.from({ length: queueCount }, () => createCustomerQueue(getWeight));
        corrections = Array.from({ length: queueCount / lengthClassCount }, createWaitCorrection);
        backlog = createBacklog(policy);
        expiring.list().slice().forEach(entry => expiring.remove(entry));
        queued.clear();
        backlog.update(policy, ranks.length);
        entries.forEach(entry => enqueue(makeEntry(entry.item, entry.order, entry.admittedMs)));
    }

    function applyPolicy(next: SchedulerPolicy) {
        const isChanged = JSON.stringify(next.ranks) !== JSON.stringify(policy.ranks) || queues.length === 0;
        policy = next;
        if (isChanged) {
            applyRanks(next.ranks);
        }
        backlog.update(policy, ranks.length);
        ledger.update(policy.capacity, queues.length);
        shares.update(ranks, policy.capacity.prefillTokensPerSecond);
    }

    function advance(nowMs: number) {
        prefill.advance(nowMs, policy.capacity.prefillTokensPerSecond, (queueIndex, tokens) => {
            if (tokens > 0) {
                shares.record(queueIndex, tokens, hasBacklog);
            }
        });
        shares.advance(nowMs, hasBacklog);
        ledger.advance(nowMs);
    }

    function predictWait(entry: QueueEntry): number {
        const { prefillTokensPerSecond } = policy.capacity;
        return predictWaitMs(entry, { queues, ranks, shares, prefill, prefillTokensPerSecond });
    }

    function computeRetryAfterMs(rankIndex: number): number {
        const first = rankIndex * lengthClassCount;
        const queuedMs = queues.slice(first, first + lengthClassCount).reduce(
            (sum, queue) => sum + queue.getQueuedMs(),
            0,
        );
        return Math.max(minRetryAfterMs, Math.ceil(queuedMs * retryQueueShare));
    }

    function checkLimits(entry: QueueEntry, nowMs: number): AdmitDecision | undefined {
        const largest = ledger.getLargestReservation(entry.lengthClass);
        if (entry.reservedTokens > largest) {
            return {
                kind: AdmitKind.Refused,
                code: ErrorCode.PromptTooLarge,
                message: "the prompt and its output exceed the endpoint's memory",
                largestPromptTokens: Math.max(0, largest - entry.item.maxOutputTokens),
            };
        }
        if (entry.latestStartMs < nowMs) {
            const message = "the time limit is shorter than the request takes on an idle endpoint";
            return { kind: AdmitKind.Refused, code: ErrorCode.TimedOut, message };
        }
        entry.predictedWaitMs = predictWait(entry);
        const lateMs = nowMs + entry.predictedWaitMs * corrections[entry.rankIndex]!.getFactor() - entry.latestStartMs;
        if (lateMs > 0) {
            return {
                kind: AdmitKind.Refused,
                code: ErrorCode.Overloaded,
                message: "the time limit cannot be met behind the work in the queue",
                retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(lateMs)),
            };
        }
        return undefined;
    }

    /**
     * Removes entries until the queue is within its bounds and returns them. If the new `entry` would itself be
     * evicted, restores the others and returns `undefined`.
     */
    function dropExcess(entry: QueueEntry): readonly QueueEntry[] | undefined {
        const dropped: QueueEntry[] = [];
        while (!backlog.isWithinBounds()) {
            const victim = backlog.pickVictim() ?? entry;
            removeQueued(victim);
            if (victim === entry) {
                dropped.forEach(enqueue);
                return undefined;
            }
            dropped.push(victim);
        }
        return dropped;
    }

    function admit(item: WorkItem, nowMs: number): AdmitDecision {
        advance(nowMs);
        const entry = makeEntry(item, nextOrder++, nowMs);
        const refusal = checkLimits(entry, nowMs);
        if (refusal) {
            return refusal;
        }
        enqueue(entry);
        const dropped = dropExcess(entry);
        if (!dropped) {
            return {
                kind: AdmitKind.Refused,
                code: ErrorCode.Overloaded,
                message: "the endpoint's queue is full",
                retryAfterMs: computeRetryAfterMs(entry.rankIndex),
            };
        }
        let position = -1;
        for (let rankIndex = 0; rankIndex <= entry.rankIndex; rankIndex++) {
            position += backlog.getRankSize(rankIndex);
        }
        const droppedRank = dropped[0]?.rankIndex;
        return {
            kind: AdmitKind.Queued,
            position,
            dropped: dropped.map(({ item }) => item),
            droppedRetryAfterMs: droppedRank === undefined ? undefined : computeRetryAfterMs(droppedRank),
        };
    }

    function hasPrefillCapacity(entry: QueueEntry, precedence: Precedence, isBelowFairShare: boolean): boolean {
        const queueIndex = computeQueueIndex(entry);
        const firstOfRank = entry.rankIndex * lengthClassCount;
        const fromQueue =
            { [Precedence.None]: 0, [Precedence.LengthClass]: queueIndex, [Precedence.Rank]: firstOfRank }[precedence];
        const limitTokens = policy.capacity.prefillTokensPerSecond * prefillAheadMs / millisecondsPerSecond;
        if (entry.lengthClass === LengthClass.Long) {
            // At most one long prefill at a time in this rank and more urgent ones, since the engine runs prefills
            // serially.
            for (let other = queueIndex; other >= fromQueue; other -= lengthClassCount) {
                if (prefill.countInPrefill(other) > 0) {
                    return false;
                }
            }
        }
        return prefill.computePendingTokens(fromQueue, queueIndex, isBelowFairShare) < Math.max(1, limitTokens);
    }

    function startFromQueue(queueIndex: number, precedence: Precedence, pass: StartPass) {
        const queue = queues[queueIndex]!;
        for (let entry = queue.getNext(); entry; entry = queue.getNext()) {
            const isBelowFairShare = queue.isNextBelowFairShare();
            const isSuspectQueue = entry.lengthClass === LengthClass.Suspect;
            if (!hasPrefillCapacity(entry, precedence, isBelowFairShare) || (isSuspectQueue && runningSuspects > 0)) {
                return;
            }
            const check = ledger.check(entry, pass.heldTokens, precedence !== Precedence.None);
            if (check !== MemoryCheck.Fits) {
                if (check === MemoryCheck.Full && pass.heldTokens === 0) {
                    pass.heldTokens = entry.reservedTokens;
                }
                return;
            }
            if (!isSuspectQueue && policy.isSuspect?.(entry.item.fingerprint)) {
                // The fingerprint became a suspect while the entry was queued.
                removeQueued(entry);
                enqueue({ ...entry, lengthClass: LengthClass.Suspect });
                continue;
            }
            queue.take();
            queued.delete(entry.item.id);
            backlog.remove(entry);
            expiring.remove(entry);
            start(entry, isBelowFairShare, pass);
        }
    }

    function start(entry: QueueEntry, isBelowFairShare: boolean, pass: StartPass) {
        ledger.reserve(entry);
        prefill.record(entry, isBelowFairShare);
        recordWait(entry, pass.nowMs);
        runningSuspects += entry.lengthClass === LengthClass.Suspect ? 1 : 0;
        running.set(entry.item.id, { entry, startedMs: pass.nowMs });
        pass.started.push(entry.item);
    }

    function recordWait(entry: QueueEntry, nowMs: number) {
        corrections[entry.rankIndex]?.record(entry.predictedWaitMs, nowMs - entry.admittedMs);
    }

    /**
     * Starts entries of a rank. Queues below their guaranteed share go first, and shorter prompts wait while such a
     * queue has unfinished prefill.
     */
    function startRank(rankIndex: number, precedence: Precedence, pass: StartPass) {
        const first = rankIndex * lengthClassCount;
        let barrier = first;
        for (let queueIndex = first; queueIndex < first + lengthClassCount; queueIndex++) {
            if (shares.hasQueuePrecedence(queueIndex)) {
                startFromQueue(queueIndex, Math.max(precedence, Precedence.LengthClass), pass);
                barrier = prefill.hasUnfinished(queueIndex) ? queueIndex : barrier;
            }
        }
        for (let queueIndex = barrier; queueIndex < first + lengthClassCount; queueIndex++) {
            startFromQueue(queueIndex, precedence, pass);
        }
    }

    function hasUnfinishedRank(rankIndex: number): boolean {
        const first = rankIndex * lengthClassCount;
        for (let queueIndex = first; queueIndex < first + lengthClassCount; queueIndex++) {
            if (prefill.hasUnfinished(queueIndex)) {
                return true;
            }
        }
        return false;
    }

    function takeNext(nowMs: number): readonly WorkItem[] {
        advance(nowMs);
        const pass: StartPass = { nowMs, started: [], heldTokens: 0 };
        const rankCount = queues.length / lengthClassCount;
        let barrier = 0;
        for (let rankIndex = 0; rankIndex < rankCount; rankIndex++) {
            if (shares.hasRankPrecedence(rankIndex)) {
                startRank(rankIndex, Precedence.Rank, pass);
                barrier = hasUnfinishedRank(rankIndex) ? rankIndex : barrier;
            }
        }
        // While a rank below its guaranteed share has unfinished prefill, more urgent work is not started: the engine
        // orders by priority and would run that work first.
        for (let rankIndex = barrier; rankIndex < rankCount; rankIndex++) {
            startRank(rankIndex, Precedence.None, pass);
        }
        return pass.started;
    }

    function complete(id: string, outputTokens: number, nowMs: number) {
        const found = running.get(id);
        if (!found) {
            return;
        }
        advance(nowMs);
        const { entry, startedMs } = found;
        const queueIndex = computeQueueIndex(entry);
        running.delete(id);
        prefill.release(id);
        ledger.release(entry);
        runningSuspects -= entry.lengthClass === LengthClass.Suspect ? 1 : 0;
        estimate.record(entry.item, outputTokens, nowMs - startedMs);
        if (outputTokens > 0) {
            shares.record(queueIndex, outputTokens, hasBacklog);
        }
        const trueCost = policy.cost({ ...entry.item, maxOutputTokens: outputTokens });
        queues[queueIndex]?.update(entry.item.customer, trueCost - entry.cost);
    }

    applyPolicy(initialPolicy);

    return {
        admit,
        takeNext,
        markFirstToken(id, nowMs) {
            const found = running.get(id);
            if (found) {
                advance(nowMs);
                const tokens = prefill.release(id);
                if (tokens > 0) {
                    shares.record(computeQueueIndex(found.entry), tokens, hasBacklog);
                }
            }
        },
        complete,
        remove(id) {
            const entry = queued.get(id);
            if (entry) {
                removeQueued(entry);
            }
            return entry !== undefined;
        },
        expire(nowMs) {
            const expired: WorkItem[] = [];
            for (let entry = expiring.getFirst(); entry && entry.latestStartMs < nowMs; entry = expiring.getFirst()) {
                removeQueued(entry);
                recordWait(entry, nowMs);
                expired.push(entry.item);
            }
            return expired;
        },
        update: applyPolicy,
        getPriority: item => prefill.getPriority(item.id) ?? Number.MAX_SAFE_INTEGER,
        report: () => buildSchedulerReport({ ranks, queues, prefill, ledger, backlog }),
    };
}
