import { EngineProfile } from "../../src/ports/servingConfiguration.js";
import { computePassMs, computePrefillMs } from "../../src/routing/engineTiming.js";
import { computeIntervalBound, WindowCapacity, WindowedWork } from "./intervalBound.js";

/** A request with its targets and what it is worth. Times are in milliseconds. */
export interface CeilingRequest {
    readonly kind: string;
    readonly arrivalMs: number;
    readonly promptTokens: number;
    /** Least number of events of the whole answer. */
    readonly events: number;
    readonly firstEventTargetMs: number;
    readonly gapTargetMs: number;
    /** Time from the arrival to the latest end of the answer. */
    readonly deadlineMs: number;
    readonly valueOnTime: number;
    readonly valueLate: number;
}

/** Number of engines from a point in time on. */
export interface EngineCount {
    readonly fromMs: number;
    readonly count: number;
}

export interface CeilingDeployment {
    readonly engine: EngineProfile;
    /** In ascending order. The first count applies before its time as well. */
    readonly engineCounts: readonly EngineCount[];
    /** Largest number of engines that prefill one prompt. */
    readonly maxParts: number;
}

/** What limits the number of requests on time. */
export enum Binding {
    None = "nothing",
    SingleRequest = "time or memory of a single request",
    PrefillTime = "prefill time",
    EngineTime = "engine time (prefill and decode)",
    Slots = "slots",
    Memory = "memory",
}

export interface CeilingBound {
    readonly name: string;
    readonly submitted: number;
    /** Requests that no system of these engines serves within their targets, even if it has nothing else to do. */
    readonly impossible: number;
    readonly mostOnTime: number;
    readonly leastLate: number;
    readonly binding: Binding;
    readonly mostValue: number;
    readonly fullValue: number;
}

/** Simplifications that the bound rests on. Each of them can only make it larger. */
export const relaxations: readonly string[] = [
    "all engines are one pool of prefill time, engine time, slots and memory, without fragmentation",
    "work can be interrupted and divided without cost, and a part of a request counts as that part",
    "all arrivals and lengths are known beforehand; no messages, no delays of the network, no crashes, no cold engines",
    "each resource is considered by itself, and the smallest of the bounds applies",
    "each kind is considered as if the others were absent; the row of all kinds has them compete",
    "decode passes cost as little as with all slots in use, and a single request decodes as fast as alone on an engine",
    "every request that is not on time earns its value if late",
];

interface Needs {
    readonly prefillMs: number;
    readonly engineMs: number;
    readonly slotMs: number;
    /** Tokens of memory, multiplied by the time in ms for which they are held. */
    readonly memoryTokenMs: number;
    readonly isPossible: boolean;
    /** Latest end of an answer that is on time, after the arrival. */
    readonly endMs: number;
}

interface Resource {
    readonly binding: Binding;
    /** Capacity of one engine in one millisecond. */
    readonly perEngineMs: number;
    getWork(needs: Needs): number;
    getDueMs(request: CeilingRequest, needs: Needs): number;
}

function listResources(engine: EngineProfile): readonly Resource[] {
    const getEndMs = (unused: CeilingRequest, needs: Needs) => needs.endMs;
    return [
        {
            binding: Binding.PrefillTime,
            perEngineMs: 1,
            getWork: needs => needs.prefillMs,
            getDueMs: request => request.firstEventTargetMs,
        },
        { binding: Binding.Slots, perEngineMs: engine.slots, getWork: needs => needs.slotMs, getDueMs: getEndMs },
        {
            binding: Binding.Memory,
            perEngineMs: engine.memoryTokens,
            getWork: needs => needs.memoryTokenMs,
            getDueMs: getEndMs,
        },
        { binding: Binding.EngineTime, perEngineMs: 1, getWork: needs => needs.engineMs, getDueMs: getEndMs },
    ];
}

/**
 * Computes the least that a request needs to be on time. The first event comes at the end of a pass, of which one step
 * may prefill only. The last event may mark the end without a pass of its own.
 */
function computeNeeds(request: CeilingRequest, deployment: CeilingDeployment): Needs {
    const { engine, engineCounts, maxParts } = deployment;
    const { promptTokens, arrivalMs, firstEventTargetMs, gapTargetMs, deadlineMs } = request;
    const prefillMs = computePrefillMs(engine, promptTokens);
    const parts = Math.min(maxParts, findMostEngines(engineCounts, arrivalMs, arrivalMs + firstEventTargetMs));
    const furtherPasses = Math.max(0, request.events - 2);
    const aloneMs = furtherPasses * computePassMs(engine, 1, promptTokens);
    const firstPassMs = (engine.stepsPerPass - 1) * engine.stepMs;
    const firstEventMs = prefillMs / parts + firstPassMs;
    // At most as many requests as there are slots share the time that a step takes without any sequences.
    const baseMs = firstPassMs + furtherPasses * engine.stepsPerPass * engine.stepMs;
    const sharedMs = firstPassMs + aloneMs - baseMs * (1 - 1 / engine.slots);
    const slotMs = firstEventMs + aloneMs;
    const endMs = Math.min(deadlineMs, firstEventTargetMs + Math.max(0, request.events - 1) * gapTargetMs);
    return {
        prefillMs,
        engineMs: prefillMs + sharedMs,
        slotMs,
        memoryTokenMs: promptTokens * aloneMs,
        isPossible: parts > 0 && firstEventMs <= firstEventTargetMs && slotMs <= endMs
            && promptTokens <= engine.memoryTokens * parts,
        endMs,
    };
}

/** Finds the largest number of engines at any time from one point in time to another. */
function findMostEngines(counts: readonly EngineCount[], fromMs: number, toMs: number): number {
    return counts.reduce((most, { fromMs: startsMs, count }, index) => {
        const endsMs = counts[index + 1]?.fromMs ?? Number.POSITIVE_INFINITY;
        const applies = (index === 0 || startsMs <= toMs) && endsMs > fromMs;
        return applies ? Math.max(most, count) : most;
    }, 0);
}

/** Creates a function that computes the engine time in an interval, in milliseconds of one engine. */
function createEngineTime(counts: readonly EngineCount[]): WindowCapacity {
    return (fromMs, toMs) =>
        counts.reduce((sum, { fromMs: startsMs, count }, index) => {
            const from = index === 0 ? fromMs : Math.max(fromMs, startsMs);
            const to = Math.min(toMs, counts[index + 1]?.fromMs ?? Number.POSITIVE_INFINITY);
            return sum + count * Math.max(0, to - from);
        }, 0);
}

/**
 * Computes upper bounds of the requests on time and of what they are worth: for each kind, as if the others were absent,
 * and for all kinds together.
 *
 * @example
 * computeCeiling(requests, { engine, engineCounts: [{ fromMs: 0, count: 14 }], maxParts: 17 })[0].mostOnTime;
 */
export function computeCeiling(
    requests: readonly CeilingRequest[],
    deployment: CeilingDeployment,
): readonly CeilingBound[] {
    const names = [...new Set(requests.map(request => request.kind))].sort();
    const groups = names.map(name => ({ name, members: requests.filter(request => request.kind === name) }));
    return [...groups, { name: "all kinds", members: requests }].map(({ name, members }) =>
        computeBound(name, members, deployment)
    );
}

function computeBound(
    name: string,
    requests: readonly CeilingRequest[],
    deployment: CeilingDeployment,
): CeilingBound {
    const engineTime = createEngineTime(deployment.engineCounts);
    const possible = requests.map(request => ({ request, needs: computeNeeds(request, deployment) }))
        .filter(({ needs }) => needs.isPossible);
    const computeGain = ({ valueOnTime, valueLate }: CeilingRequest) =>
        Math.max(0, valueOnTime - Math.max(0, valueLate));
    let mostOnTime = possible.length;
    let binding = possible.length < requests.length ? Binding.SingleRequest : Binding.None;
    let mostGain = possible.reduce((sum, { request }) => sum + computeGain(request), 0);
    for (const resource of listResources(deployment.engine)) {
        const capacity: WindowCapacity = (fromMs, toMs) => resource.perEngineMs * engineTime(fromMs, toMs);
        const makeItems = (getGain: (request: CeilingRequest) => number): WindowedWork[] =>
            possible.map(({ request, needs }) => ({
                releaseMs: request.arrivalMs,
                dueMs: request.arrivalMs + resource.getDueMs(request, needs),
                work: resource.getWork(needs),
                gain: getGain(request),
            }));
        const onTime = computeIntervalBound(makeItems(() => 1), capacity, true);
        if (onTime < mostOnTime) {
            mostOnTime = onTime;
            binding = resource.binding;
        }
        mostGain = Math.min(mostGain, computeIntervalBound(makeItems(computeGain), capacity, false));
    }
    const lateValue = requests.reduce((sum, { valueLate }) => sum + Math.max(0, valueLate), 0);
    return {
        name,
        submitted: requests.length,
        impossible: requests.length - possible.length,
        mostOnTime,
        leastLate: requests.length - mostOnTime,
        binding,
        mostValue: lateValue + mostGain,
        fullValue: requests.reduce((sum, { valueOnTime }) => sum + valueOnTime, 0),
    };
}
