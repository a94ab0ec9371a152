import { createOrderedHeap, OrderedHeap } from "./orderedHeap.js";
import { compareArrival, QueueEntry } from "./queueEntry.js";

/**
 * Start-time fair queueing by customer: the next entry is that of the customer that has received the least service in
 * proportion to its weight.
 */
export interface CustomerQueue {
    enqueue(entry: QueueEntry): void;
    getNext(): QueueEntry | undefined;
    /** Whether the customer of the next entry has used less than its fair share, so that the entry goes first. */
    isNextBelowFairShare(): boolean;
    /** Removes the next entry and charges its cost to its customer. */
    take(): QueueEntry | undefined;
    remove(entry: QueueEntry): boolean;
    /** Corrects the charge of a customer by the difference between actual and estimated cost of started work. */
    update(customer: string, costDifference: number): void;
    getSize(): number;
    /** Endpoint time of all queued work in milliseconds. */
    getQueuedMs(): number;
    /** Prompt tokens of all queued work that are not in the prefix cache, so that the engine has to compute them. */
    getQueuedTokens(): number;
    /** Endpoint time of the queued work that is served before a new entry, in milliseconds. */
    computeAheadMs(entry: QueueEntry): number;
}

/** State of one customer in the fair queue. */
interface Flow {
    readonly customer: string;
    readonly entries: OrderedHeap<QueueEntry>;
    /** Virtual time at which the customer's next entry starts. */
    startTag: number;
    /** Virtual time at which the customer's last started entry ends. */
    finishTag: number;
    queuedMs: number;
    /** Latest arrival among the entries queued since the customer's queue was last empty. */
    newestMs: number;
}

/**
 * Burst credit, as a number of entries of mean cost: how far a customer that used less than its share may go ahead of
 * the others, so that a short burst of a small customer does not wait behind customers with a long backlog. The credit
 * is bounded, so that shares are still equal over longer times.
 */
const creditEntries = 4;
/** Weight of one entry in the moving average of the cost. */
const learningRate = 0.05;

/**
 * Creates a fair queue.
 *
 * @param getWeight weight of a customer; twice the weight receives twice the service
 *
 * @example
 * const queue = createCustomerQueue(() => 1);
 */
export function createCustomerQueue(getWeight: (customer: string) => number): CustomerQueue {
    const flows = new Map<string, Flow>();
    const backlogged = createOrderedHeap<Flow>((left, right) =>
        left.startTag - right.startTag || compareArrival(left.entries.getFirst()!, right.entries.getFirst()!)
    );
    /** Customers without queued work that are kept because their finish tag is still ahead of the virtual time. */
    const idle = createOrderedHeap<Flow>((left, right) => left.finishTag - right.finishTag);
    let virtualTime = 0;
    let size = 0;
    let queuedMs = 0;
    let queuedTokens = 0;
    /** Moving average of the cost of an entry. */
    let meanCost = 0;

    /** Start tag of the next entry of a customer that has nothing queued. */
    function computeStartTag(flow: Flow): number {
        return Math.max(virtualTime - meanCost * creditEntries, flow.finishTag);
    }

    function getFlow(customer: string): Flow {
        let flow = flows.get(customer);
        if (!flow) {
            flow = {
                customer,
                entries: createOrderedHeap(compareArrival),
                startTag: 0,
                finishTag: Number.NEGATIVE_INFINITY,
                queuedMs: 0,
                newestMs: Number.NEGATIVE_INFINITY,
            };
            flows.set(customer, flow);
        }
        return flow;
    }

    /** Forgets idle customers whose finish tag no longer affects their next start tag. */
    function pruneIdle() {
        for (let flow = idle.getFirst(); flow && flow.finishTag < computeStartTag(flow); flow = idle.getFirst()) {
            idle.remove(flow);
            flows.delete(flow.customer);
        }
    }

    /**
     * Estimates the endpoint time of a customer's queued entries that arrived before a time. Assumes that arrivals are
     * spread evenly between the first and the newest entry.
     */
    function estimateEarlierMs(flow: Flow | undefined, arrivedMs: number): number {
        const first = flow?.entries.getFirst();
        if (!flow || !first) {
            return 0;
        }
        if (arrivedMs >= flow.newestMs) {
            return flow.queuedMs;
        }
        const part = (arrivedMs - first.item.arrivedMs) / (flow.newestMs - first.item.arrivedMs);
        return flow.queuedMs * Math.max(0, part);
    }

    function removeEntry(flow: Flow, entry: QueueEntry) {
        // The heap orders customers by their first entries, so the customer is removed before its entries change.
        backlogged.remove(flow);
        flow.entries.remove(entry);
        flow.queuedMs -= entry.endpointMs;
        size--;
        queuedTokens -= entry.prefillTokens;
        // Resets the sum when the queue is empty, since floating-point errors accumulate.
        queuedMs = size === 0 ? 0 : queuedMs - entry.endpointMs;
    }

    /** Puts the customer back into the heap for its state: backlogged or idle. */
    function enqueueFlow(flow: Flow) {
        (flow.entries.getSize() > 0 ? backlogged : idle).enqueue(flow);
        pruneIdle();
    }

    return {
        enqueue(entry) {
            meanCost += (entry.cost - meanCost) * (meanCost === 0 ? 1 : learningRate);
            const flow = getFlow(entry.item.customer);
            idle.remove(flow);
            if (!backlogged.remove(flow)) {
                flow.startTag = computeStartTag(flow);
                flow.newestMs = Number.NEGATIVE_INFINITY;
            }
            flow.newestMs = Math.max(flow.newestMs, entry.item.arrivedMs);
            flow.entries.enqueue(entry);
            flow.queuedMs += entry.endpointMs;
            size++;
            queuedMs += entry.endpointMs;
            queuedTokens += entry.prefillTokens;
            backlogged.enqueue(flow);
        },
        isNextBelowFairShare: () => (backlogged.getFirst()?.startTag ?? virtualTime) < virtualTime,
        getNext: () => backlogged.getFirst()?.entries.getFirst(),
        take() {
            const flow = backlogged.getFirst();
            const entry = flow?.entries.getFirst();
            if (!flow || !entry) {
                return undefined;
            }
            removeEntry(flow, entry);
            virtualTime = Math.max(virtualTime, flow.startTag);
            flow.finishTag = flow.startTag + entry.cost / getWeight(flow.customer);
            flow.startTag = flow.finishTag;
            enqueueFlow(flow);
            return entry;
        },
        remove(entry) {
            const flow = flows.get(entry.item.customer);
            if (!flow?.entries.has(entry)) {
                return false;
            }
            removeEntry(flow, entry);
            enqueueFlow(flow);
            return true;
        },
        update(customer, costDifference) {
            const flow = flows.get(customer);
            if (!flow) {
                return;
            }
            flow.finishTag += costDifference / getWeight(customer);
            if (backlogged.has(flow)) {
                flow.startTag = computeStartTag(flow);
                backlogged.update(flow);
            }
            else {
                idle.update(flow);
            }
        },
        getSize: () => size,
        getQueuedMs: () => queuedMs,
        getQueuedTokens: () => queuedTokens,
        computeAheadMs({ item: { customer, arrivedMs }, endpointMs }) {
            const weight = getWeight(customer);
            const ownMs = estimateEarlierMs(flows.get(customer), arrivedMs);
            let aheadMs = ownMs;
            // While this customer's backlog is served, each other customer receives as much service by weight.
            for (const flow of backlogged.list()) {
                if (flow.customer !== customer) {
                    aheadMs += Math.min(flow.queuedMs, (ownMs + endpointMs) * getWeight(flow.customer) / weight);
                }
            }
            return aheadMs;
        },
    };
}
