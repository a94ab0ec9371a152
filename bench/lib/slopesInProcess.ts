import { createLogAppender } from "../../src/adapters/logAppender.js";
import { makeId } from "../../src/base/ids.js";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { ChangeOperation, ConfigurationRecordType, makeChangeSetRecord } from "../../src/config/changeSet.js";
import { makeCheckpoint, parseCheckpoint } from "../../src/config/checkpoint.js";
import { computeConfigurationDigest } from "../../src/config/digest.js";
import { foldRecord, FoldState, makeEmptyFoldState } from "../../src/config/fold.js";
import { ObjectType } from "../../src/config/objects.js";
import { createLogModel, defaultLogModelSettings } from "../../src/emulator/log/logModel.js";
import { createMemoryLogService } from "../../src/emulator/log/memoryLogService.js";
import { buildCustomerIndex } from "../../src/entry/customerIndex.js";
import {
    ClaimRecordKind,
    createClaimFold,
    defaultClaimFoldSettings,
    OutcomeResult,
} from "../../src/idempotency/index.js";
import { encodeFrame } from "../../src/link/frame.js";
import { LinkMessageType } from "../../src/link/messages.js";
import { createFairScheduler } from "../../src/scheduling/fairScheduler.js";
import { SchedulerPolicy, WorkItem } from "../../src/scheduling/scheduler.js";
import { DataPoint, fitLine, LinearFit } from "./linearFit.js";
import { makeScaleObjects } from "./scaleObjects.js";

const microsecondsPerMillisecond = 1000;
const bytesPerKiB = 1024;

function collectGarbage(): void {
    if (!globalThis.gc) {
        throw new Error("garbage collection is not exposed; run node with --expose-gc");
    }
    globalThis.gc();
}

/** Measures the growth of the heap by what a function makes. The value is returned so that it is not collected. */
function measureHeap<Value>(make: () => Value): { readonly value: Value; readonly bytes: number } {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const value = make();
    collectGarbage();
    return { value, bytes: process.memoryUsage().heapUsed - before };
}

/** Measures the median time of several runs in milliseconds, after one warm-up run. */
function measureMs(runs: number, run: () => void): number {
    run();
    const times = [...Array(runs).keys()].map(() => {
        const startedMs = performance.now();
        run();
        return performance.now() - startedMs;
    });
    return times.sort((left, right) => left - right)[Math.floor(runs / 2)]!;
}

/** Makes the state that a fold of these configuration objects would have. */
function makeFoldState(objects: FoldState["objects"]): FoldState {
    const changed = new Map<string, number>();
    for (const type of Object.values(ObjectType)) {
        for (const name of Object.keys(objects[type])) {
            changed.set(`${type}/${name}`, 0);
        }
    }
    return { ...makeEmptyFoldState(), foldedOffset: 0, generation: 0, objects, changed };
}

/** Measures a configuration: memory, fold of one change, digest, message size, and parsing of a checkpoint. */
export function measureConfiguration(): readonly LinearFit[] {
    const sizes = [2_000, 6_000, 12_000, 20_714];
    const memory: DataPoint[] = [];
    const fold: DataPoint[] = [];
    const digest: DataPoint[] = [];
    const message: DataPoint[] = [];
    const start: DataPoint[] = [];
    for (const size of sizes) {
        // As at the two-year scale, 7,700 of 20,714 objects are endpoints; 19 are models, versions, ranks and kinds.
        const endpoints = Math.round(size * 0.372);
        const { value: objects, bytes } = measureHeap(() => makeScaleObjects(endpoints, size - endpoints - 19));
        const state = makeFoldState(objects);
        memory.push({ size, value: bytes / bytesPerKiB });
        const changeSet = makeChangeSetRecord({
            id: makeId(),
            author: "bench",
            base: 0,
            changes: [{
                op: ChangeOperation.Put,
                kind: ObjectType.Customer,
                name: "customer-1",
                value: { ...objects.customers["customer-1"], weight: 2 },
            }],
        });
        const record = { offset: 1, timeMs: 0, value: changeSet };
        fold.push({ size, value: measureMs(5, () => foldRecord(state, record)) });
        digest.push({ size, value: measureMs(5, () => computeConfigurationDigest(objects)) });
        const frame = encodeFrame({
            type: LinkMessageType.Configuration,
            generation: 1,
            digest: "",
            objects,
            foldedOffset: 1,
        });
        message.push({ size, value: frame.length });
        const checkpoint: unknown = JSON.parse(JSON.stringify({
            ...makeCheckpoint(state),
            type: ConfigurationRecordType.Checkpoint,
        }));
        start.push({ size, value: measureMs(3, () => parseCheckpoint(checkpoint)) });
    }
    return [
        fitLine("entry: memory of the configuration", "configuration object", "KiB", memory),
        fitLine("entry: time to fold one change", "configuration object", "ms", fold),
        fitLine("entry and sidecar: time of the digest", "configuration object", "ms", digest),
        fitLine("link: bytes of the configuration message", "configuration object", "B", message),
        fitLine("start: time to check a checkpoint", "configuration object", "ms", start),
    ];
}

/** Measures memory and build time of the index of customers by key digest, rebuilt at each configuration change. */
export function measureCustomers(): readonly LinearFit[] {
    const memory: DataPoint[] = [];
    const time: DataPoint[] = [];
    for (const size of [1_000, 4_000, 8_000, 13_000]) {
        const configuration = { generation: 0, digest: "", objects: makeScaleObjects(1, size) };
        memory.push({ size, value: measureHeap(() => buildCustomerIndex(configuration)).bytes / bytesPerKiB });
        time.push({ size, value: measureMs(5, () => buildCustomerIndex(configuration)) });
    }
    return [
        fitLine("entry: memory of the customer index", "customer", "KiB", memory),
        fitLine("entry: time to build the customer index", "customer", "ms", time),
    ];
}

const policy: SchedulerPolicy = {
    ranks: [
        { name: "urgent", urgency: 0, share: 0.05 },
        { name: "normal", urgency: 1, share: 0.05 },
        { name: "bulk", urgency: 2, share: 0.05 },
    ],
    capacity: { memoryTokens: 400_000, prefillTokensPerSecond: 40_000, decodeTokensPerSecond: 100, maxRunning: 32 },
    cost: () => 1,
    maxQueuedRequests: 1_000_000,
    maxQueuedBytes: Number.MAX_SAFE_INTEGER,
};

function makeItem(index: number): WorkItem {
    return {
        id: `request-${index}`,
        rank: ["urgent", "normal", "bulk"][index % 3]!,
        customer: `customer-${index % 50}`,
        kind: "question",
        promptTokens: 1_000 + index % 3_000,
        cachedTokens: 0,
        maxOutputTokens: 100,
        arrivedMs: index,
        deadlineMs: 1e12,
        bodyBytes: 8_000,
        fingerprint: `fingerprint-${index}`,
    };
}

/** Measures a sidecar's queue at several lengths: its memory, and the time to admit, start and report requests. */
export function measureQueue(): readonly LinearFit[] {
    const memory: DataPoint[] = [];
    const admit: DataPoint[] = [];
    const start: DataPoint[] = [];
    const report: DataPoint[] = [];
    const probes = 50;
    for (const size of [500, 2_000, 4_000, 8_000]) {
        const { value: scheduler, bytes } = measureHeap(() => {
            const filled = createFairScheduler(policy);
            for (let index = 0; index < size; index++) {
                filled.admit(makeItem(index), index);
            }
            return filled;
        });
        memory.push({ size, value: bytes / bytesPerKiB });
        const nowMs = size + 1;
        let nextIndex = size;
        const msPerProbe = measureMs(5, () => {
            for (let probe = 0; probe < probes; probe++) {
                scheduler.admit(makeItem(nextIndex++), nowMs);
            }
        }) / probes;
        admit.push({ size, value: msPerProbe * microsecondsPerMillisecond });
        start.push({
            size,
            value: measureMs(5, () => {
                for (const item of scheduler.takeNext(nowMs)) {
                    scheduler.markFirstToken(item.id, nowMs);
                    scheduler.complete(item.id, 10, nowMs);
                }
            }) * microsecondsPerMillisecond,
        });
        report.push({ size, value: measureMs(5, () => scheduler.report()) * microsecondsPerMillisecond });
    }
    return [
        fitLine("sidecar: memory of the queue without bodies", "queued request", "KiB", memory),
        fitLine("sidecar: time to admit a request", "queued request", "µs", admit),
        fitLine("sidecar: time to start and end a batch", "queued request", "µs", start),
        fitLine("sidecar: time of a load report", "queued request", "µs", report),
    ];
}

/** Measures claims with their outcomes: memory of the keys in the window, time to fold them and bytes in the log. */
export function measureClaims(): readonly LinearFit[] {
    const memory: DataPoint[] = [];
    const time: DataPoint[] = [];
    const bytesOnLog: DataPoint[] = [];
    const pageRecords = 500;
    for (const size of [2_000, 8_000, 16_000, 32_000]) {
        const nowMs = Date.now();
        let encodedBytes = 0;
        const pages = [...Array(Math.ceil(size * 2 / pageRecords)).keys()].map(page => {
            const records = [...Array(pageRecords / 2).keys()].flatMap(index => {
                const claim = makeId();
                const values = [
                    {
                        kind: ClaimRecordKind.Claim,
                        id: claim,
                        key: makeId(),
                        customer: `customer-${index}`,
                        fingerprint: "f".repeat(64),
                        holder: claim,
                        limitMs: 5_000,
                        partitions: 8,
                    },
                    {
                        kind: ClaimRecordKind.Outcome,
                        id: makeId(),
                        claim,
                        holder: claim,
                        result: OutcomeResult.Ran,
                        status: 200,
                        headers: { "content-type": "application/json" },
                        body: "b".repeat(200),
                    },
                ];
                encodedBytes += values.reduce((sum, value) => sum + JSON.stringify(value).length, 0);
                return values.map((value, position) => ({
                    offset: page * pageRecords + index * 2 + position,
                    timeMs: nowMs,
                    value,
                }));
            });
            return { records, firstOffset: 0, endOffset: (page + 1) * pageRecords };
        });
        let elapsedMs = 0;
        const { bytes } = measureHeap(() => {
            const fold = createClaimFold(defaultClaimFoldSettings);
            const startedMs = performance.now();
            for (const page of pages) {
                fold.applyPage(page);
            }
            elapsedMs = performance.now() - startedMs;
            if (fold.countKeys() < size) {
                throw new Error(`the claim fold holds ${fold.countKeys()} keys instead of ${size}`);
            }
            return fold;
        });
        memory.push({ size, value: bytes / bytesPerKiB });
        time.push({ size, value: elapsedMs });
        bytesOnLog.push({ size, value: encodedBytes });
    }
    return [
        fitLine("sidecar: memory of the claims in the window", "claim", "KiB", memory),
        fitLine("sidecar: time to fold claims with outcomes", "claim", "ms", time),
        fitLine("log: bytes of a claim with its outcome (200 B body)", "claim", "B", bytesOnLog),
    ];
}

/** Measures how many appends per second one appender sends to the log, which groups records into one append. */
export async function measureLogAppends(): Promise<readonly LinearFit[]> {
    const timers = createSystemTimerService();
    const seconds = 2;
    const tickMs = 10;
    const points: DataPoint[] = [];
    for (const size of [50, 200, 800, 3_200]) {
        const model = createLogModel({ ...defaultLogModelSettings, appendsPerSecond: 100_000 }, timers);
        model.updateFaults({ answerDelayMs: 5 });
        const appender = createLogAppender(createMemoryLogService(model, timers), timers);
        const before = model.countAppends();
        const pendingAppends: Promise<unknown>[] = [];
        for (let tick = 0; tick < seconds * 1000 / tickMs; tick++) {
            const dueRecords = Math.floor((tick + 1) * size * tickMs / 1000) - Math.floor(tick * size * tickMs / 1000);
            for (let index = 0; index < dueRecords; index++) {
                pendingAppends.push(appender.append("claims-0", { id: makeId() }, 5_000));
            }
            await new Promise(resolve => setTimeout(resolve, tickMs));
        }
        await Promise.all(pendingAppends);
        points.push({ size, value: (model.countAppends() - before) / seconds });
    }
    return [fitLine("log: appends a second of one appender and stream", "record a second", "appends/s", points)];
}
