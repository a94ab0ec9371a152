/** Tag of a {@link LogServiceError}. */
export enum LogServiceErrorKind {
    /** The service refused the call or could not be reached. An append had no effect. */
    Unavailable = "unavailable",
    /** No answer was received. The append may have taken effect. */
    OutcomeUnknown = "outcome-unknown",
    /** The service's rate limit was exceeded. The append had no effect. */
    RateLimited = "rate-limited",
    /** The service rejected the request as malformed. */
    Refused = "refused",
}

/** Error thrown by a {@link LogService}. */
export class LogServiceError extends Error {
    constructor(readonly kind: LogServiceErrorKind, message: string) {
        super(message);
        this.name = "LogServiceError";
    }
}

/** A record read from a stream. */
export interface LogRecord {
    readonly offset: number;
    /** Time of the append on the service's clock, in milliseconds since the Unix epoch. */
    readonly timeMs: number;
    readonly value: unknown;
}

/** A page of records. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** Offset of the oldest retained record. Equal to `endOffset` when the stream is empty. */
    readonly firstOffset: number;
    /** Offset that the next append will receive. */
    readonly endOffset: number;
    /**
     * History that the offsets belong to. Changes when the service has lost acknowledged records, for example because it came
     * back from an older copy: offsets are then given out again. Absent if the service does not name it.
     */
    readonly era?: number;
}

/**
 * The platform's append-only log of named streams. Offsets are assigned per stream, start at 0 and increase.
 */
export interface LogService {
    /**
     * Appends values in order at consecutive offsets and returns the offset of the first.
     *
     * @throws LogServiceError
     */
    append(stream: string, values: readonly unknown[]): Promise<number>;
    /**
     * Reads up to `limit` records, starting at `fromOffset`. Expired records are skipped; the caller detects this by
     * comparing `firstOffset` with the requested offset. If there is no record yet, waits up to `waitMs` for one. An
     * acknowledged record can be lost; the caller detects this by comparing `era` with that of its last read.
     *
     * @throws LogServiceError
     */
    read(stream: string, fromOffset: number, limit: number, waitMs?: number): Promise<LogPage>;
}
