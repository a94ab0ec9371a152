import { z } from "zod";
import { CrashRecord } from "./quarantine.js";

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
