import { z } from "zod";
import { LogEvent } from "../../src/base/logEvents.js";
import { EngineProfile } from "../../src/ports/servingConfiguration.js";
import { CeilingDeployment, CeilingRequest } from "./ceiling.js";

const positive = z.number().positive();
const notNegative = z.number().min(0);
const engineSchema = z.strictObject({
    slots: positive,
    memoryTokens: positive,
    stepsPerPass: positive,
    stepMs: notNegative,
    stepMsPerSequence: notNegative,
    stepMsPerThousandTokens: notNegative,
    prefillTokensPerSecond: positive,
    attentionMsPerMillionPairs: notNegative,
    prefillChunkTokens: positive,
    meanOutputTokens: notNegative,
});
const countSchema = z.strictObject({ fromS: z.number(), count: notNegative });
const routeSchema = z.strictObject({
    kind: z.string().optional(),
    firstEventTargetMs: positive,
    gapTargetMs: positive,
    deadlineMs: positive.default(10_000),
    minEvents: notNegative.default(1),
    valueOnTime: z.number().default(1),
    valueLate: z.number().default(0),
});
const deploymentSchema = z.strictObject({
    engine: engineSchema,
    engines: z.union([notNegative, z.array(countSchema).min(1)]),
    maxParts: positive.default(17),
    clockDifferenceMs: notNegative.default(0),
    routes: z.record(z.string(), routeSchema),
});

/** Contents of the deployment file; docs/ceiling.md describes its fields. */
export type DeploymentFile = z.infer<typeof deploymentSchema>;

type RouteTargets = DeploymentFile["routes"][string];

const lineSchema = z.object({
    time: z.string(),
    event: z.number(),
    request: z.string().optional(),
    route: z.string().optional(),
    result: z.string().optional(),
    status: z.number().optional(),
    events: z.number().optional(),
    firstEventMs: z.number().optional(),
    longestPauseMs: z.number().optional(),
    readMs: z.number().optional(),
    promptTokens: z.number().optional(),
    deadlineMs: z.number().optional(),
    tookMs: z.number().optional(),
    droppedLines: z.number().optional(),
});
type RequestLine = z.infer<typeof lineSchema>;

/** Requests of the log lines, and what was not used. */
export interface CeilingInput {
    readonly requests: readonly CeilingRequest[];
    readonly deployment: CeilingDeployment;
    /** Requests that the gateways ended on time according to their lines, by kind. */
    readonly observedOnTime: ReadonlyMap<string, number>;
    /** Number of lines that were not used, by reason. */
    readonly unused: ReadonlyMap<string, number>;
    /** Requests whose prompt length was derived from `readMs`. */
    readonly derivedPrompts: number;
    /** Requests that were not answered to the end, for which the least number of events was assumed. */
    readonly assumedEvents: number;
}

/** Times in log lines are rounded to milliseconds, at the arrival and at the end. */
const roundingMs = 1;
const answeredResult = "answered";
const firstErrorStatus = 400;
const unavailableStatus = 503;

/**
 * Parses the contents of a deployment file.
 *
 * @throws {Error} if a field is missing, malformed or unknown
 * @example
 * parseDeploymentFile(await readFile("deployment.json", "utf8")).routes;
 */
export function parseDeploymentFile(text: string): DeploymentFile {
    const result = deploymentSchema.safeParse(JSON.parse(text));
    if (!result.success) {
        throw new Error(`malformed deployment file: ${z.prettifyError(result.error)}`);
    }
    return result.data;
}

/**
 * Collects requests from log lines of gateways. A line may have other text before and after its JSON object.
 *
 * @example
 * collectCeilingInput(text.split("\n"), parseDeploymentFile(json)).requests;
 */
export function collectCeilingInput(lines: Iterable<string>, file: DeploymentFile): CeilingInput {
    const requests: CeilingRequest[] = [];
    const observedOnTime = new Map<string, number>();
    const unused = new Map<string, number>();
    let derivedPrompts = 0;
    let assumedEvents = 0;
    const marginMs = roundingMs + file.clockDifferenceMs;

    function add(line: RequestLine, route: RouteTargets): void {
        const isRefusal = isRefusedOnArrival(line);
        const isAnswered = line.result === answeredResult && (line.status ?? 0) < firstErrorStatus;
        const kind = route.kind ?? line.route!;
        derivedPrompts += line.promptTokens === undefined && !isRefusal ? 1 : 0;
        assumedEvents += isAnswered ? 0 : 1;
        if (isAnswered && isOnTime(line, route)) {
            observedOnTime.set(kind, (observedOnTime.get(kind) ?? 0) + 1);
        }
        requests.push({
            kind,
            arrivalMs: parseTimeMs(line.time) - (line.tookMs ?? 0) - marginMs,
            promptTokens: line.promptTokens ?? derivePromptTokens(file.engine, line.readMs ?? 0),
            events: isAnswered ? Math.max(1, line.events ?? 0) : route.minEvents,
            firstEventTargetMs: route.firstEventTargetMs + 2 * marginMs,
            gapTargetMs: route.gapTargetMs + 2 * marginMs,
            deadlineMs: computeDeadlineMs(line, route) + 2 * marginMs,
            valueOnTime: route.valueOnTime,
            valueLate: route.valueLate,
        });
    }

    function countUnused(reason: string, count: number): void {
        unused.set(reason, (unused.get(reason) ?? 0) + count);
    }

    for (const text of lines) {
        if (text.trim().length > 0) {
            const line = parseLine(text);
            if (line?.droppedLines !== undefined) {
                countUnused("dropped by a gateway whose output was not read in time", line.droppedLines);
            }
            const reason = line ? findFlaw(line) : "not a log line of a gateway";
            const route = line?.route !== undefined && Object.hasOwn(file.routes, line.route)
                ? file.routes[line.route]
                : undefined;
            if (line && reason === undefined && route) {
                add(line, route);
            }
            else {
                countUnused(reason ?? `route ${line!.route} is not in the deployment file`, 1);
            }
        }
    }
    const firstMs = requests.reduce((first, { arrivalMs }) => Math.min(first, arrivalMs), Number.POSITIVE_INFINITY);
    return {
        requests: requests.map(request => ({ ...request, arrivalMs: request.arrivalMs - firstMs })),
        deployment: makeDeployment(file),
        observedOnTime,
        unused,
        derivedPrompts,
        assumedEvents,
    };
}

function makeDeployment({ engine, engines, maxParts }: DeploymentFile): CeilingDeployment {
    const counts = typeof engines === "number" ? [{ fromS: 0, count: engines }] : engines;
    return {
        engine,
        engineCounts: counts.map(({ fromS, count }) => ({ fromMs: fromS * 1_000, count }))
            .sort((left, right) => left.fromMs - right.fromMs),
        maxParts,
    };
}

function parseLine(text: string): RequestLine | undefined {
    const end = text.lastIndexOf("}") + 1;
    for (let start = text.indexOf("{"); start >= 0 && start < end; start = text.indexOf("{", start + 1)) {
        try {
            const parsed = lineSchema.safeParse(JSON.parse(text.slice(start, end)));
            return parsed.success ? parsed.data : undefined;
        }
        catch {
            // The brace belongs to the text before the object.
        }
    }
    return undefined;
}

function isRefusedOnArrival({ event }: RequestLine): boolean {
    return event === Number(LogEvent.RequestRefused);
}

/** Returns why a line is no request that the bound can use, or `undefined`. */
function findFlaw(line: RequestLine): string | undefined {
    if (isRefusedOnArrival(line)) {
        if (line.status !== unavailableStatus) {
            return "refused on arrival as malformed or not permitted";
        }
        return line.route === undefined ? "refused on arrival with 503, without `route`" : findTimeFlaw(line);
    }
    if (line.event !== Number(LogEvent.RequestEnded)) {
        return "other events";
    }
    if (line.route === undefined) {
        return "`RequestEnded` without `route`";
    }
    if (line.tookMs === undefined) {
        return "`RequestEnded` without `tookMs`";
    }
    return line.promptTokens === undefined && line.readMs === undefined
        ? "`RequestEnded` without `promptTokens` and `readMs`"
        : findTimeFlaw(line);
}

function findTimeFlaw({ time }: RequestLine): string | undefined {
    return Number.isNaN(parseTimeMs(time)) ? "malformed `time`" : undefined;
}

/** Parses a time with or without a date. Returns NaN for other text. */
function parseTimeMs(text: string): number {
    return Date.parse(/^\d\d:/.test(text) ? `1970-01-01T${text}` : text);
}

function computeDeadlineMs(line: RequestLine, route: RouteTargets): number {
    return Math.min(line.deadlineMs ?? Number.POSITIVE_INFINITY, route.deadlineMs);
}

/** Derives the least prompt length whose prefill time is rounded to `readMs`. */
function derivePromptTokens(engine: EngineProfile, readMs: number): number {
    const leastMs = Math.max(0, readMs - 0.5);
    const perToken = 1_000 / engine.prefillTokensPerSecond;
    const perPair = engine.attentionMsPerMillionPairs / 2e6;
    return perPair === 0
        ? leastMs / perToken
        : (Math.sqrt(perToken ** 2 + 4 * perPair * leastMs) - perToken) / (2 * perPair);
}

function isOnTime(line: RequestLine, route: RouteTargets): boolean {
    return (line.firstEventMs ?? line.tookMs ?? 0) <= route.firstEventTargetMs
        && (line.longestPauseMs ?? 0) <= route.gapTargetMs
        && (line.tookMs ?? 0) <= computeDeadlineMs(line, route);
}
