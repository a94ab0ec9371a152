import { z } from "zod";
import { CrashRecord } from "./quarantine.js";
import { QuarantineTerm } from "./quarantineTerm.js";

/** Type of crash records in the log stream `control`. */
export const crashRecordType = "crash";

const crashRecordSchema = z.object({
    type: z.literal(crashRecordType),
    id: z.string().min(1),
    fingerprints: z.array(z.string()),
});

/**
 * Builds the log record of a crash. Its id is the id of the crash, so that records of the same crash from several
 * entries count once.
 *
 * @example
 * buildCrashRecord({ crash: "engine-1/1", fingerprints: [] });
 */
export function buildCrashRecord(record: CrashRecord): z.infer<typeof crashRecordSchema> {
    return { type: crashRecordType, id: record.crash, fingerprints: [...record.fingerprints] };
}

/** Parses a value of the log stream `control`. Returns `undefined` if it is not a crash record. */
export function parseCrashRecord(value: unknown): CrashRecord | undefined {
    const parsed = crashRecordSchema.safeParse(value);
    return parsed.success ? { crash: parsed.data.id, fingerprints: parsed.data.fingerprints } : undefined;
}

/** Type of records of quarantined traits in the log stream `control`. */
export const termRecordType = "quarantine";

const termRecordSchema = z.object({
    type: z.literal(termRecordType),
    trait: z.string().min(1),
    isActive: z.boolean(),
    decidedAtMs: z.number(),
    untilMs: z.number(),
    crashes: z.number(),
    firstCrashAtMs: z.number(),
});

/**
 * Builds the log record of a decision about a quarantine. Its id is the trait with the time of the decision, so that
 * records of the same decision count once.
 *
 * @example
 * buildTermRecord(term);
 */
export function buildTermRecord(term: QuarantineTerm): z.infer<typeof termRecordSchema> & { readonly id: string } {
    return { type: termRecordType, id: `${term.trait}/${term.decidedAtMs}`, ...term };
}

/** Parses a value of the log stream `control`. Returns `undefined` if it is not a record of a quarantine. */
export function parseTermRecord(value: unknown): QuarantineTerm | undefined {
    const parsed = termRecordSchema.safeParse(value);
    if (!parsed.success) {
        return undefined;
    }
    const { trait, isActive, decidedAtMs, untilMs, crashes, firstCrashAtMs } = parsed.data;
    return { trait, isActive, decidedAtMs, untilMs, crashes, firstCrashAtMs };
}
