import { Result } from "../base/result.js";

/** The newest record of one key. */
export interface KeyedRecord {
    readonly key: string;
    /** Absent where the key was deleted. */
    readonly value?: Uint8Array;
}

/** Records read together and the position to continue from. */
export interface RecordBatch {
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
}

/** Why a read of a feed failed. */
export enum FeedErrorKind {
    /** The store does not answer, or refuses to. */
    Unavailable = "unavailable",
    /** Records at the requested position have expired; read everything anew. */
    Expired = "expired",
}

/** A failed read. */
export interface FeedError {
    readonly kind: FeedErrorKind;
    readonly reason: string;
}

/** One keyed stream of records in the store. */
export interface RecordFeed {
    /** Reads the newest record of each key. */
    readNewest(): Promise<Result<RecordBatch, FeedError>>;
    /** Reads what follows `offset`; waits up to `waitMs` for the first record. */
    readFrom(offset: number, waitMs: number): Promise<Result<RecordBatch, FeedError>>;
}

/** A keyed stream that this process also writes to. */
export interface WritableFeed extends RecordFeed {
    /** Writes the newest record of a key, or deletes the key where `value` is absent. */
    write(key: string, value: Uint8Array | undefined): Promise<Result<undefined, FeedError>>;
}
