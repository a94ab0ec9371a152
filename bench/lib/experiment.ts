import { readFile } from "node:fs/promises";
import { parse } from "yaml";
import { z } from "zod";
import { LoadPlan, loadPlanSchema } from "../../src/load/loadPlan.js";

/** Unit in which the service that a customer received is counted. */
export enum CostMeasure {
    Tokens = "tokens",
    WeightedRequests = "weighted-requests",
}

const name = z.string().min(1);
const count = z.number().int().positive();

const engineGroupSchema = z.strictObject({
    dataCentre: name,
    count,
    memoryTokens: count,
    prefillTokensPerSecond: z.number().positive(),
    decodeTokensPerSecond: z.number().positive(),
    maxBatch: count,
});
const serviceGroupSchema = z.strictObject({ dataCentre: name, count, service: name, delayMs: z.number().min(0) });
const entryGroupSchema = z.strictObject({ dataCentre: name, count });

const policySchema = z.strictObject({
    name,
    /** Value of `--scheduler` of the sidecars. */
    scheduler: name,
    /** Value of `--policy` of the entries, where they have this flag. */
    routing: name,
});

const customerSchema = z.strictObject({
    defaultKind: name,
    weight: z.number().positive().default(1),
    isLarge: z.boolean().default(false),
});

/** Names of the phases, streams and ranks that the targets of the design compare. */
const comparisonSchema = z.strictObject({
    urgentRank: name,
    middleRank: name,
    /** Streams of short prompts whose time to the first token is measured. */
    shortStreams: z.array(name),
    shortAlonePhase: name,
    shortBesidePhase: name,
    /** Phase and stream of the overload with requests of the least urgent rank. */
    bulkFloodPhase: name.optional(),
    bulkFloodStream: name.optional(),
    /** Phase of the overload with requests of the most urgent rank. */
    urgentFloodPhase: name.optional(),
    /** Phases with and without the large customers. */
    withoutLargePhase: name.optional(),
    withLargePhase: name.optional(),
    costMeasure: z.enum(CostMeasure),
});

const experimentSchema = z.strictObject({
    name,
    seed: z.number().int(),
    /** How the fleet differs in scale from the organisation's fleet; printed with the results. */
    scale: z.array(z.string()),
    dataCentres: z.array(name).min(1),
    engines: z.array(engineGroupSchema),
    services: z.array(serviceGroupSchema).default([]),
    entries: z.array(entryGroupSchema).min(1),
    ranks: z.record(name, z.unknown()),
    kinds: z.record(name, z.looseObject({ rank: name, costWeight: z.number().positive().default(1) })),
    serviceObjects: z.record(name, z.unknown()).default({}),
    customers: z.record(name, customerSchema),
    policies: z.array(policySchema).min(1),
    comparison: comparisonSchema,
    load: z.strictObject({
        streams: z.unknown(),
        phases: z.unknown(),
        faults: z.unknown().optional(),
        drainSeconds: z.number(),
    }),
});

/** An experiment: a fleet, its load and the policies to compare. */
export interface Experiment extends z.infer<typeof experimentSchema> {
    readonly plan: LoadPlan;
}

/** Name of the only model of the experiments. */
export const experimentModel = "main";

/** Makes the API key of a customer of an experiment. */
export function makeCustomerKey(customer: string): string {
    return `key-of-${customer}`;
}

/** Smallest share of the plan's drain time that a shortened run keeps; answers that arrive late need it. */
const leastDrainShare = 0.4;

/**
 * Reads an experiment file.
 *
 * @param phaseScale factor on the durations of the phases; below 1 for a quick run
 */
export async function readExperiment(path: string, phaseScale: number): Promise<Experiment> {
    const experiment = experimentSchema.parse(parse(await readFile(path, "utf8")));
    const { load, customers } = experiment;
    const plan = loadPlanSchema.parse({
        ...load,
        name: experiment.name,
        model: experimentModel,
        seed: experiment.seed,
        keys: Object.fromEntries(Object.keys(customers).map(customer => [customer, makeCustomerKey(customer)])),
    });
    const phases = plan.phases.map(phase => ({
        ...phase,
        seconds: phase.seconds * phaseScale,
        surges: phase.surges.map(surge => ({
            ...surge,
            atSeconds: surge.atSeconds * phaseScale,
            count: Math.max(1, Math.round(surge.count * phaseScale)),
            overSeconds: surge.overSeconds * phaseScale,
        })),
    }));
    const drainSeconds = plan.drainSeconds * Math.max(phaseScale, leastDrainShare);
    return { ...experiment, plan: { ...plan, phases, drainSeconds } };
}
