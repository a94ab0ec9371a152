import stringify from "safe-stable-stringify";
import { z } from "zod";
import { computeDigest } from "../base/ids.js";
import { ConfigurationRecordType } from "./changeSet.js";
import { FoldState } from "./fold.js";
import { ConfigurationObjects } from "./objects.js";
import { configurationSchema } from "./schema.js";

/** Log record that holds a folded state, so that readers can start from it after older records have expired. */
export interface CheckpointRecord {
    readonly type: ConfigurationRecordType.Checkpoint;
    readonly foldedOffset: number;
    readonly shift: number;
    /** Whether the log had restarted at offset 0. The reader then derives the shift from this record's own offset. */
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
}).refine(
    checkpoint => checkpoint.generation <= checkpoint.foldedOffset,
    "the generation is greater than the folded offset",
);

/** A checkpoint that passed validation. */
export interface ParsedCheckpoint {
    readonly state: FoldState;
    readonly restart: boolean;
}

/**
 * Creates a checkpoint of a state.
 *
 * @param restart whether this is the first checkpoint of a log that has restarted at offset 0
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

/** Parses and verifies a checkpoint. Returns an error message if the value is not a valid checkpoint. */
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
        return `the checkpoint's objects do not match their schema: ${objects.error.issues[0]?.path.join(".")}`;
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

/** Restores the order of offsets that the maps of a state have: serialization may have reordered the keys. */
function sortOffsets(offsets: Readonly<Record<string, number>>): ReadonlyMap<string, number> {
    return new Map(Object.entries(offsets).sort((left, right) => left[1] - right[1]));
}
