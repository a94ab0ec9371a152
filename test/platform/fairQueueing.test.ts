import assert from "node:assert/strict";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { describe, test } from "node:test";
import { makeHeaders, ReceivedAnswer, send, startDeployment, TestGateway } from "./support/deployment.js";

const slots = 4;
const endpoints = 2;
/** Slots are slow, so that clients, gateways and endpoints in one process keep up with three times the capacity. */
const slotMs = 200;
const capacityPerSecond = endpoints * slots * 1_000 / slotMs;
const smallPerSecond = 5;
const deadlineMs = 3_000;
/** Time after the start of the flood from which results count. */
const settledMs = 2_000;
const measuredMs = 4_000;
const customers = [
    { name: "small", keys: ["key-small"] },
    { name: "large", keys: ["key-large"] },
];

interface Sent {
    readonly tookMs: number;
    readonly answer: ReceivedAnswer | undefined;
}

/** Results of one customer. */
interface Summary {
    readonly answeredShare: number;
    readonly answeredPerSecond: number;
    readonly p95Ms: number;
    /** Refused requests that were told within a tenth of the time to their deadline, as a share of the refused. */
    readonly earlyShare: number;
    readonly hasRetryAfter: boolean;
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function sendLoad(
    gateways: readonly TestGateway[],
    customer: string,
    perSecond: number,
    durationMs: number,
): Promise<Summary> {
    const startedAtMs = performance.now();
    const pending: Promise<Sent | undefined>[] = [];
    for (let count = 0; performance.now() - startedAtMs < durationMs;) {
        const due = (performance.now() - startedAtMs) / 1_000 * perSecond;
        for (; count < due; count++) {
            const atMs = performance.now();
            const headers = makeHeaders({ "api-key": `key-${customer}`, "x-deadline-ms": String(deadlineMs) });
            const isCounted = atMs - startedAtMs >= durationMs - measuredMs;
            pending.push(
                send(gateways[count % gateways.length]!, { path: `/look/${count}`, headers }).catch(() => undefined)
                    .then(answer => isCounted ? { tookMs: performance.now() - atMs, answer } : undefined),
            );
        }
        await wait(5);
    }
    const sent = (await Promise.all(pending)).filter(item => item !== undefined);
    const answered = sent.filter(item => item.answer?.status === 200);
    const refused = sent.filter(item => item.answer?.status !== 200);
    const times = answered.map(item => item.tookMs).sort((left, right) => left - right);
    return {
        answeredShare: answered.length / sent.length,
        answeredPerSecond: answered.length / measuredMs * 1_000,
        p95Ms: times[Math.floor(times.length * 0.95)] ?? Number.POSITIVE_INFINITY,
        earlyShare: refused.filter(item => item.tookMs <= deadlineMs / 10).length / Math.max(1, refused.length),
        hasRetryAfter: refused.every(item => item.answer?.headers["retry-after"] !== undefined),
    };
}

async function runFlood(gatewayCount: number) {
    const deployment = await startDeployment({
        engines: 0,
        services: endpoints,
        serviceSlots: slots,
        serviceSlotMs: slotMs,
        gateways: gatewayCount,
        customers,
    });
    const lag = monitorEventLoopDelay({ resolution: 5 });
    lag.enable();
    try {
        const alone = await sendLoad(deployment.gateways, "small", smallPerSecond, measuredMs);
        const [small, large] = await Promise.all([
            sendLoad(deployment.gateways, "small", smallPerSecond, settledMs + measuredMs),
            sendLoad(deployment.gateways, "large", 3 * capacityPerSecond, settledMs + measuredMs),
        ]);
        return { alone, small, large, lagMs: [lag.mean / 1e6, lag.percentile(99) / 1e6] };
    }
    finally {
        await deployment.close();
    }
}

/** Guards against a customer that sends more than the endpoints can run and takes the places of another one. */
describe("a customer at three times the capacity of a plain service", { concurrency: false }, () => {
    for (const gatewayCount of [1, 2, 4, 13]) {
        test(`does not delay a small one through ${gatewayCount} gateways, and what exceeds the capacity is refused early`, async context => {
            const { alone, small, large, lagMs } = await runFlood(gatewayCount);
            context.diagnostic(JSON.stringify({ alone, small, large, lagMs }));
            assert.ok(small.answeredShare >= 0.97, `small customer answered ${small.answeredShare.toFixed(3)}`);
            assert.ok(
                small.p95Ms <= 3 * alone.p95Ms,
                `p95 ${small.p95Ms.toFixed(0)} ms, ${alone.p95Ms.toFixed(0)} alone`,
            );
            const left = capacityPerSecond - smallPerSecond;
            assert.ok(large.answeredPerSecond >= 0.9 * left, `large customer answered ${large.answeredPerSecond}/s`);
            assert.ok(large.earlyShare >= 0.8, `refused early ${large.earlyShare.toFixed(3)}`);
            assert.ok(large.hasRetryAfter);
        });
    }
});
