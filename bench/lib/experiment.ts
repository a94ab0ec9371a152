import { readFile } from "node:fs/promises";
import { parse } from "yaml";
import { z } from "zod";
import { LoadPlan, loadPlanSchema } from "../../src/load/loadPlan.js";

/** Unit in which the service that a customer received is counted. */
export enum CostMeasure {
    Tokens = "tokens",
    WeightedRequests = "weighted-requests",
}

const nonEmptyString = z.string().min(1);
const positiveInteger = z.number().int().positive();

const engineGroupSchema = z.strictObject({
    dataCentre: nonEmptyString,
    count: positiveInteger,
    memoryTokens: positiveInteger,
    prefillTokensPerSecond: z.number().positive(),
    decodeTokensPerSecond: z.number().positive(),
    maxBatch: positiveInteger,
});
const serviceGroupSchema = z.strictObject({
    dataCentre: nonEmptyString,
    count: positiveInteger,
    service: nonEmptyString,
    delayMs: z.number().min(0),
});
const entryGroupSchema = z.strictObject({ dataCentre: nonEmptyString, count: positiveInteger });

const policySchema = z.strictObject({
    name: nonEmptyString,
    /** Value of `--scheduler` of the sidecars. */
    scheduler: nonEmptyString,
    /** Value of `--policy` of the entries, where they have this flag. */
    routing: nonEmptyString,
});

const customerSchema = z.strictObject({
    defaultKind: nonEmptyString,
    weight: z.number().positive().default(1),
    isLarge: z.boolean().default(false),
});

/** Names of the phases, streams and ranks that the targets of the design compare. */
const comparisonSchema = z.strictObject({
    urgentRank: nonEmptyString,
    middleRank: nonEmptyString,
    /** Streams of short prompts whose time to the first token is measured. */
    shortStreams: z.array(nonEmptyString),
    shortAlonePhase: nonEmptyString,
    shortBesidePhase: nonEmptyString,
    /** Phase and stream of the overload with requests of the least urgent rank. */
    bulkFloodPhase: nonEmptyString.optional(),
    bulkFloodStream: nonEmptyString.optional(),
    /** Phase of the overload with requests of the most urgent rank. */
    urgentFloodPhase: nonEmptyString.optional(),
    /** Phases with and without the large customers. */
    withoutLargePhase: nonEmptyString.optional(),
    withLargePhase: nonEmptyString.optional(),
    costMeasure: z.enum(CostMeasure),
});

const experimentSchema = z.strictObject({
    name: nonEmptyString,
    seed: z.number().int(),
    /** How the fleet differs in scale from the organisation's fleet; printed with the results. */
    scale: z.array(z.string()),
    dataCentres: z.array(nonEmptyString).min(1),
    engines: z.array(engineGroupSchema),
    services: z.array(serviceGroupSchema).default([]),
    entries: z.array(entryGroupSchema).min(1),
    ranks: z.record(nonEmptyString, z.unknown()),
    kinds: z.record(
        nonEmptyString,
        z.looseObject({ rank: nonEmptyString, costWeight: z.number().positive().default(1) }),
    ),
    serviceObjects: z.record(nonEmptyString, z.unknown()).default({}),
    customers: z.record(nonEmptyString, customerSchema),
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
const minDrainShare = 0.4;

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
    const drainSeconds = plan.drainSeconds * Math.max(phaseScale, minDrainShare);
    return { ...experiment, plan: { ...plan, phases, drainSeconds } };
}
