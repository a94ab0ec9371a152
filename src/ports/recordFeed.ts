import { Result } from "../base/result.js";

/** The newest record of one key. */
export interface KeyedRecord {
    readonly key: string;
    /** Absent where the key was deleted. */
    readonly value?: Uint8Array;
}

/** What a record of the operators says about the evacuation of a data centre. */
export interface EvacuationRecord {
    readonly dataCentre: string;
    /** False where the evacuation was removed. */
    readonly isActive: boolean;
}

/**
 * Position in a feed. Made by the client of the store; its users only pass it back and log it, because an offset means
 * nothing without the era in which it was given out.
 */
export interface FeedCursor {
    /** Rises when the store comes back from an older copy of its records; undefined if the store names none. */
    readonly era: number | undefined;
    readonly offset: number;
}

/** Records of one read and the position at which to continue. */
export interface RecordBatch {
    readonly records: readonly KeyedRecord[];
    readonly next: FeedCursor;
}

/** Why a read of a feed failed. */
export enum FeedErrorKind {
    /** The store does not answer or refuses the read. */
    Unavailable = "unavailable",
    /** Records at the requested position are no longer available. The reader must start again with `readNewest`. */
    Expired = "expired",
    /**
     * The store has come back from an older copy, so that the position means nothing any more. The reader must start again
     * with `readNewest`.
     */
    Restored = "restored",
}

/** A failed read. */
export interface FeedError {
    readonly kind: FeedErrorKind;
    readonly reason: string;
}

/** A stream of keyed records in the store. */
export interface RecordFeed {
    /** Reads the newest record of each key. */
    readNewest(): Promise<Result<RecordBatch, FeedError>>;
    /** Reads the records from a position on, and waits up to `waitMs` for the first one. */
    readFrom(cursor: FeedCursor, waitMs: number): Promise<Result<RecordBatch, FeedError>>;
}

/** A stream of keyed records that this process can also write to. */
export interface WritableFeed extends RecordFeed {
    /** Writes the newest record of a key, or deletes the key if `value` is `undefined`. */
    write(key: string, value: Uint8Array | undefined): Promise<Result<undefined, FeedError>>;
}
