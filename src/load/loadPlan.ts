import { z } from "zod";

/** Type of the requests of a stream. */
export enum RequestType {
    Text = "text",
    Chat = "chat",
    Service = "service",
}

/** Action of the fault script on a process or an emulator. */
export enum FaultAction {
    Kill = "kill",
    Stop = "stop",
    Continue = "continue",
    /** Sends a POST with a JSON body to the control URL of an emulator. */
    Control = "control",
}

const name = z.string().min(1);
const count = z.number().int().positive();
const seconds = z.number().min(0);
const defaultMaxRequests = 200_000;
const defaultMaxInFlight = 4_000;
const defaultDrainSeconds = 10;
const defaultTimeLimitMs = 30_000;
const defaultBytesPerToken = 4;

const bandSchema = z.strictObject({ weight: z.number().positive(), minTokens: count, maxTokens: count })
    .refine(band => band.minTokens <= band.maxTokens, "expected minTokens <= maxTokens");

const streamSchema = z.strictObject({
    type: z.enum(RequestType).default(RequestType.Text),
    kind: name.optional(),
    rank: name,
    /** Weights by which arrivals are distributed over customers. */
    customers: z.record(name, z.number().positive()),
    /** Bands of prompt lengths; the length is log-uniform inside a band. */
    prompt: z.array(bandSchema).default([{ weight: 1, minTokens: 1, maxTokens: 1 }]),
    minOutputTokens: count.default(16),
    maxOutputTokens: count.default(16),
    /** Share of the requests that ask for a streamed answer. */
    streamedShare: z.number().min(0).max(1).default(1),
    timeLimitMs: count.default(defaultTimeLimitMs),
    /** Whether a prompt that is larger than an engine may be split. */
    allowsSplit: z.boolean().default(false),
    /** Maximum number of times that a refused request is sent again, with its ticket, after its Retry-After time. */
    maxRepeats: z.number().int().min(0).default(0),
    /** Name of the plain service and path below its root, for service calls. */
    service: name.optional(),
    path: z.string().default("/"),
}).refine(stream => stream.type !== RequestType.Service || stream.service !== undefined, {
    message: "expected a service name",
    path: ["service"],
});

const surgeSchema = z.strictObject({ stream: name, atSeconds: seconds, count, overSeconds: seconds });

const phaseSchema = z.strictObject({
    name,
    seconds: z.number().positive(),
    /** Mean arrivals per second of each stream (Poisson). */
    rates: z.record(name, z.number().positive()).default({}),
    /** Bursts of arrivals, each evenly spread over a short time. */
    surges: z.array(surgeSchema).default([]),
});

const faultSchema = z.strictObject({
    atSeconds: seconds,
    action: z.enum(FaultAction),
    /** Name of the process, or of the emulator whose control URL is called. */
    target: name,
    path: z.string().default("/emulator/faults"),
    body: z.unknown().optional(),
});

/** Schema of a load plan: customers, request streams, arrival rates by phase, and faults. */
export const loadPlanSchema = z.strictObject({
    name,
    seed: z.number().int().default(1),
    model: name,
    bytesPerToken: z.number().positive().default(defaultBytesPerToken),
    /** API keys of the customers. */
    keys: z.record(name, z.string().min(1)),
    streams: z.record(name, streamSchema),
    phases: z.array(phaseSchema).min(1),
    faults: z.array(faultSchema).default([]),
    /** Maximum number of arrivals in a run. */
    maxRequests: count.default(defaultMaxRequests),
    /** Arrivals are counted as not sent while this number of requests is in flight. */
    maxInFlight: count.default(defaultMaxInFlight),
    /** Time to wait for answers after the last phase. */
    drainSeconds: seconds.default(defaultDrainSeconds),
}).superRefine((plan, context) => {
    function checkNames(names: readonly string[], known: object, path: (string | number)[]) {
        for (const found of names.filter(candidate => !(candidate in known))) {
            context.addIssue({ code: "custom", message: `unknown name "${found}"`, path });
        }
    }
    for (const [stream, { customers }] of Object.entries(plan.streams)) {
        checkNames(Object.keys(customers), plan.keys, ["streams", stream, "customers"]);
    }
    plan.phases.forEach((phase, index) => {
        const used = [...Object.keys(phase.rates), ...phase.surges.map(surge => surge.stream)];
        checkNames(used, plan.streams, ["phases", index]);
    });
});

/** A load plan. */
export type LoadPlan = z.infer<typeof loadPlanSchema>;

/** One stream of similar requests. */
export type LoadStream = LoadPlan["streams"][string];

/** One step of the fault script. */
export type FaultStep = LoadPlan["faults"][number];
