import { z } from "zod";

/** Tag of a {@link ClaimRecord}. */
export enum ClaimRecordKind {
    Claim = "claim",
    Outcome = "outcome",
    Release = "release",
    Mark = "mark",
}

/** Result of a claimed call that was not released. */
export enum OutcomeResult {
    Ran = "ran",
    /** The call was sent, but no complete answer was received. */
    MayHaveRun = "may-have-run",
}

const id = z.string().min(1).max(64);
const partitions = z.number().int().positive();

const claimSchema = z.object({
    kind: z.literal(ClaimRecordKind.Claim),
    id,
    key: z.string(),
    customer: z.string(),
    fingerprint: z.string(),
    holder: z.string(),
    limitMs: z.number().min(0),
    partitions,
});

const outcomeSchema = z.object({
    kind: z.literal(ClaimRecordKind.Outcome),
    id,
    claim: id,
    holder: z.string(),
    result: z.enum(OutcomeResult),
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
    body: z.string().optional(),
});

const releaseSchema = z.object({
    kind: z.literal(ClaimRecordKind.Release),
    id,
    claim: id,
    holder: z.string(),
});

const markSchema = z.object({ kind: z.literal(ClaimRecordKind.Mark), id, partitions });

const recordSchema = z.discriminatedUnion("kind", [claimSchema, outcomeSchema, releaseSchema, markSchema]);

/**
 * Announces that a sidecar is about to run a call. `key` is the customer's UUIDv7, `fingerprint` a digest of service,
 * method, path and body, `holder` the process, `limitMs` the time that the call has left in milliseconds, and
 * `partitions` the number of claim streams that the holder is configured with.
 */
export type ClaimRecord = Readonly<z.infer<typeof claimSchema>>;

/**
 * Records the outcome of a claimed call. `body` is base64. It is absent if it exceeds the limit for recorded bodies.
 */
export type OutcomeRecord = Readonly<z.infer<typeof outcomeSchema>>;

/** Releases a claim. The call has not run, and the holder will not run it. */
export type ReleaseRecord = Readonly<z.infer<typeof releaseSchema>>;

/** Marks a time since which the stream is complete, for a stream that has no recent claims. */
export type MarkRecord = Readonly<z.infer<typeof markSchema>>;

/** A record of a claim stream. */
export type AnyClaimRecord = ClaimRecord | OutcomeRecord | ReleaseRecord | MarkRecord;

/** The part of an outcome that is replayed to later sends. */
export type RecordedOutcome = Pick<OutcomeRecord, "result" | "status" | "headers" | "body">;

/**
 * Parses a value of a claim stream. Returns `undefined` for a value that is not a claim record, which readers skip.
 *
 * @example
 * parseClaimRecord({ kind: "mark", id: "1", partitions: 8 });
 */
export function parseClaimRecord(value: unknown): AnyClaimRecord | undefined {
    const parsed = recordSchema.safeParse(value);
    return parsed.success ? parsed.data : undefined;
}
