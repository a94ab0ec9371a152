import { z } from "zod";
import { CostBasis, ObjectType } from "./objects.js";

const name = z.string().min(1).max(128);
const share = z.number().min(0).max(1);
const positiveInteger = z.number().int().positive();
const maxTimeLimitMs = 24 * 60 * 60 * 1000;
const timeLimitMs = z.number().int().positive().max(maxTimeLimitMs);

const defaultMaxOutputTokens = 4096;
const defaultBytesPerToken = 4;
const defaultLoadingShare = 0.25;
const defaultRankShare = 0.05;
const defaultMemoryTokens = 400_000;
const defaultMaxRunning = 64;

const modelSchema = z.strictObject({
    version: name,
    maxOutputTokens: positiveInteger.default(defaultMaxOutputTokens),
    bytesPerToken: z.number().positive().default(defaultBytesPerToken),
    loadingShare: share.default(defaultLoadingShare),
});

const weightsSchema = z.strictObject({ model: name, weights: name });

const rankSchema = z.strictObject({
    urgency: z.number().int().min(0),
    share: share.default(defaultRankShare),
    timeLimitMs,
});

const kindSchema = z.strictObject({
    rank: name,
    costBasis: z.enum(CostBasis).default(CostBasis.Request),
    costWeight: z.number().positive().default(1),
});

const customerSchema = z.strictObject({
    keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 digest in lower-case hexadecimal")).min(
        1,
    ),
    ranks: z.array(name).default([]),
    defaultKind: name,
    weight: z.number().positive().default(1),
    operator: z.boolean().default(false),
});

const endpointSchema = z.strictObject({
    host: name,
    dataCentre: name,
    model: name.optional(),
    service: name.optional(),
    adapters: z.array(name).default([]),
    role: name.default("general"),
    checksFencing: z.boolean(),
    memoryTokens: positiveInteger.default(defaultMemoryTokens),
    maxRunning: positiveInteger.default(defaultMaxRunning),
}).refine(endpoint => (endpoint.model === undefined) !== (endpoint.service === undefined), {
    message: "expected exactly one of model and service",
});

const serviceSchema = z.strictObject({
    rank: name,
    repeatable: z.boolean(),
    timeLimitMs,
});

/** Schema of the objects, by type. */
export const objectSchemas = {
    [ObjectType.Model]: modelSchema,
    [ObjectType.Version]: weightsSchema,
    [ObjectType.Adapter]: weightsSchema,
    [ObjectType.Rank]: rankSchema,
    [ObjectType.Kind]: kindSchema,
    [ObjectType.Customer]: customerSchema,
    [ObjectType.Endpoint]: endpointSchema,
    [ObjectType.Service]: serviceSchema,
} as const;

/** Schema of a complete set of objects, as written in configuration files. */
export const configurationSchema = z.strictObject({
    models: z.record(name, modelSchema).default({}),
    versions: z.record(name, weightsSchema).default({}),
    adapters: z.record(name, weightsSchema).default({}),
    ranks: z.record(name, rankSchema).default({}),
    kinds: z.record(name, kindSchema).default({}),
    customers: z.record(name, customerSchema).default({}),
    endpoints: z.record(name, endpointSchema).default({}),
    services: z.record(name, serviceSchema).default({}),
});
