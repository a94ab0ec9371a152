/** Tag of a {@link LogServiceError}. */
export enum LogServiceErrorKind {
    /** The service refused or was not reached; the append certainly had no effect. */
    Unavailable = "unavailable",
    /** The answer was lost; the append may have taken effect. */
    OutcomeUnknown = "outcome-unknown",
    /** The rate limit refused the append; it had no effect. */
    RateLimited = "rate-limited",
    /** The service refused the request as malformed. */
    Refused = "refused",
}

/** Error thrown by a {@link LogService}. */
export class LogServiceError extends Error {
    constructor(readonly kind: LogServiceErrorKind, message: string) {
        super(message);
        this.name = "LogServiceError";
    }
}

/** One record as read from a stream. */
export interface LogRecord {
    readonly offset: number;
    /** Time of the append by the service's clock, in milliseconds since the Unix epoch. */
    readonly timeMs: number;
    readonly value: unknown;
}

/** A page of records. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** Offset of the oldest record that the service still keeps. Equal to `endOffset` when the stream is empty. */
    readonly firstOffset: number;
    /** Offset that the next append will receive. */
    readonly endOffset: number;
}

/**
 * The platform's append-only log. Streams are named; offsets start at 0 and only grow within a stream.
 */
export interface LogService {
    /**
     * Appends values in order, as one group, and returns the offset of the first.
     *
     * @throws LogServiceError
     */
    append(stream: string, values: readonly unknown[]): Promise<number>;
    /**
     * Reads up to `limit` records from `fromOffset` on. Records that have expired are skipped: the customer compares
     * `firstOffset` with the offset that it asked for. Waits up to `waitMs` for a first record.
     *
     * @throws LogServiceError
     */
    read(stream: string, fromOffset: number, limit: number, waitMs?: number): Promise<LogPage>;
}
