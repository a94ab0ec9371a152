import stringify from "safe-stable-stringify";
import { z } from "zod";
import { computeDigest } from "../base/ids.js";
import { ConfigurationRecordType } from "./changeSet.js";
import { FoldState } from "./fold.js";
import { ConfigurationObjects } from "./objects.js";
import { configurationSchema } from "./schema.js";

/** A folded state as a log record, so that a reader can resume after older records have expired. */
export interface CheckpointRecord {
    readonly type: ConfigurationRecordType.Checkpoint;
    readonly foldedOffset: number;
    readonly shift: number;
    /** Whether the log had started again at offset 0; the record's own position then sets the shift. */
    readonly restart: boolean;
    readonly generation: number;
    readonly objects: ConfigurationObjects;
    readonly changed: Readonly<Record<string, number>>;
    readonly deleted: Readonly<Record<string, number>>;
    readonly ids: Readonly<Record<string, number>>;
    /** Digest of all other fields. */
    readonly digest: string;
}

const offsetSchema = z.number().int().min(-1);
const offsetsSchema = z.record(z.string(), offsetSchema);
const checkpointSchema = z.strictObject({
    type: z.literal(ConfigurationRecordType.Checkpoint),
    foldedOffset: offsetSchema,
    shift: z.number().int(),
    restart: z.boolean(),
    generation: offsetSchema,
    objects: z.record(z.string(), z.unknown()),
    changed: offsetsSchema,
    deleted: offsetsSchema,
    ids: offsetsSchema,
    digest: z.string(),
}).refine(checkpoint => checkpoint.generation <= checkpoint.foldedOffset, "the generation is above the folded offset");

/** A checkpoint that passed its checks. */
export interface ParsedCheckpoint {
    readonly state: FoldState;
    readonly restart: boolean;
}

/**
 * Makes the checkpoint of a state.
 *
 * @param restart whether it is the first checkpoint of a log that has started again at offset 0
 *
 * @example
 * await logService.append(configurationStream, [makeCheckpoint(state)]);
 */
export function makeCheckpoint(state: FoldState, restart = false): CheckpointRecord {
    const content = {
        type: ConfigurationRecordType.Checkpoint as const,
        foldedOffset: state.foldedOffset,
        shift: state.shift,
        restart,
        generation: state.generation,
        objects: state.objects,
        changed: Object.fromEntries(state.changed),
        deleted: Object.fromEntries(state.deleted),
        ids: Object.fromEntries(state.ids),
    };
    return { ...content, digest: computeDigest(stringify(content)) };
}

/** Parses and verifies a checkpoint. Returns a text that says why it is none. */
export function parseCheckpoint(value: unknown): ParsedCheckpoint | string {
    const parsed = checkpointSchema.safeParse(value);
    if (!parsed.success) {
        return parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
    }
    const { digest, ...content } = parsed.data;
    if (computeDigest(stringify(content)) !== digest) {
        return "the checkpoint does not match its digest";
    }
    const objects = configurationSchema.safeParse(content.objects);
    if (!objects.success) {
        return `the checkpoint's objects fail their schema: ${objects.error.issues[0]?.path.join(".")}`;
    }
    const { foldedOffset, shift, generation, restart } = content;
    const state = {
        foldedOffset,
        shift,
        generation,
        objects: objects.data,
        changed: sortOffsets(content.changed),
        deleted: sortOffsets(content.deleted),
        ids: sortOffsets(content.ids),
    };
    return { state, restart };
}

/** The maps of a state are in order of offsets; a codec may have reordered the keys. */
function sortOffsets(offsets: Readonly<Record<string, number>>): ReadonlyMap<string, number> {
    return new Map(Object.entries(offsets).sort((left, right) => left[1] - right[1]));
}
