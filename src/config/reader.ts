import { LogPage, LogRecord } from "../ports/logService.js";
import { parseCheckpoint } from "./checkpoint.js";
import { FoldOutcome, FoldOutcomeKind, foldRecord, FoldState, isCheckpointValue, makeEmptyFoldState } from "./fold.js";

/** The newest checkpoint that a reader has read from the log. */
export interface SeenCheckpoint {
    /** Offset in the log stream. */
    readonly offset: number;
    readonly foldedOffset: number;
    /** Time of its append on the log's clock, in milliseconds since the Unix epoch. */
    readonly timeMs: number;
}

/** Records that a reader can no longer read. */
export interface ReadGap {
    readonly fromOffset: number;
    /** Last missing offset; `Infinity` if the log has restarted, because the end is then unknown. */
    readonly toOffset: number;
    /** Whether the log lost its records and restarted at offset 0. */
    readonly isRestart: boolean;
}

/** State of a reader of the configuration stream. Offsets are those of the log; offsets in `state` may be shifted. */
export interface ConfigurationReader {
    readonly state: FoldState;
    /** Offset in the log stream at which to read next. */
    readonly nextOffset: number;
    /** The last record that was read, used to detect that the log has restarted. */
    readonly last: Pick<LogRecord, "offset" | "timeMs"> | undefined;
    /** Set while records are missing between the state and `pending`. */
    readonly gap: ReadGap | undefined;
    /** Records after the gap, buffered until a checkpoint or a peer's state covers the gap. */
    readonly pending: readonly LogRecord[];
    readonly checkpoint: SeenCheckpoint | undefined;
    /** Whether the reader had reached the end of the log stream as of the last page. */
    readonly atEnd: boolean;
    /** End offset of the log stream as of the last page. */
    readonly endOffset: number;
    /** Whether the last page showed that the log ends before records that the reader has already read. */
    readonly isLogBehind: boolean;
}

/** Reader after a step, and the outcome for each folded record. */
export interface ReadResult {
    readonly reader: ConfigurationReader;
    readonly outcomes: readonly FoldOutcome[];
}

/** Number of offsets that a restart checkpoint skips, so that it exceeds any offset that the new log may have used. */
const restartMarginOffsets = 1_000;

/** Creates a reader that has not read any records. */
export function makeConfigurationReader(): ConfigurationReader {
    return {
        state: makeEmptyFoldState(),
        nextOffset: 0,
        last: undefined,
        gap: undefined,
        pending: [],
        checkpoint: undefined,
        atEnd: false,
        endOffset: 0,
        isLogBehind: false,
    };
}

/** Whether `candidate` is newer than `current`, by generation and then by folded offset. */
export function isNewerState(candidate: FoldState, current: FoldState): boolean {
    return candidate.generation > current.generation
        || (candidate.generation === current.generation && candidate.foldedOffset > current.foldedOffset);
}

/**
 * Accepts a page that was read from the reader's next offset. Records that were already read have no effect: the state
 * never reverts, even if the log does.
 *
 * @example
 * const { reader, outcomes } = acceptPage(makeConfigurationReader(), page);
 */
export function acceptPage(reader: ConfigurationReader, page: LogPage): ReadResult {
    if (page.endOffset < reader.nextOffset) {
        return { reader: { ...reader, atEnd: false, isLogBehind: true }, outcomes: [] };
    }
    const outcomes: FoldOutcome[] = [];
    let next: ConfigurationReader = { ...reader, isLogBehind: false };
    if (next.checkpoint && next.checkpoint.offset < page.firstOffset) {
        next = { ...next, checkpoint: undefined };
    }
    if (page.firstOffset > next.nextOffset) {
        next = openGap(next, page.firstOffset);
    }
    for (const record of page.records) {
        if (record.offset >= next.nextOffset) {
            const { offset, timeMs } = record;
            next = acceptRecord({ ...next, nextOffset: offset + 1, last: { offset, timeMs } }, record, outcomes);
        }
    }
    const { endOffset } = page;
    return { reader: { ...next, endOffset, atEnd: next.nextOffset >= endOffset }, outcomes };
}

function openGap(reader: ConfigurationReader, firstOffset: number): ConfigurationReader {
    const isRestart = reader.gap?.isRestart ?? false;
    const toOffset = isRestart ? Infinity : firstOffset - 1 + reader.state.shift;
    const gap = { fromOffset: reader.state.foldedOffset + 1, toOffset, isRestart };
    return { ...reader, gap, pending: [], nextOffset: firstOffset };
}

function acceptRecord(reader: ConfigurationReader, record: LogRecord, outcomes: FoldOutcome[]): ConfigurationReader {
    if (!isCheckpointValue(record.value)) {
        return foldOrBuffer(reader, record, outcomes);
    }
    const checkpoint = parseCheckpoint(record.value);
    if (typeof checkpoint === "string") {
        outcomes.push({ kind: FoldOutcomeKind.Ignored, record, message: checkpoint });
        return foldOrBuffer(reader, record, []);
    }
    const { offset, timeMs } = record;
    const withCheckpoint = { ...reader, checkpoint: { offset, foldedOffset: checkpoint.state.foldedOffset, timeMs } };
    const shift = reader.gap?.isRestart ? 0 : reader.state.shift;
    if (checkpoint.restart && checkpoint.state.foldedOffset >= offset + shift) {
        const restarted = { ...checkpoint.state, shift: checkpoint.state.foldedOffset + 1 - offset };
        return fold(closeGap(withCheckpoint, restarted, outcomes), [record], outcomes);
    }
    if (isCovered(reader, checkpoint.state)) {
        return fold(closeGap(withCheckpoint, checkpoint.state, outcomes), [record], outcomes);
    }
    const isAhead = checkpoint.state.generation > reader.state.generation
        && checkpoint.state.foldedOffset >= reader.state.foldedOffset;
    return foldOrBuffer(isAhead ? replaceState(withCheckpoint, checkpoint.state) : withCheckpoint, record, outcomes);
}

/** Replaces the state with a newer one. A gap that the newer state does not cover remains open. */
function replaceState(reader: ConfigurationReader, state: FoldState): ConfigurationReader {
    const gap = reader.gap && { ...reader.gap, fromOffset: state.foldedOffset + 1 };
    return { ...reader, state, gap };
}

/** Whether a state covers the reader's gap, so that the reader can continue to fold records. */
function isCovered(reader: ConfigurationReader, candidate: FoldState): boolean {
    if (!reader.gap) {
        return false;
    }
    return reader.gap.isRestart
        // A state has a different shift only if it was created after the restart.
        ? candidate.shift !== reader.state.shift && candidate.generation >= reader.state.generation
        : candidate.foldedOffset >= reader.gap.toOffset;
}

function foldOrBuffer(reader: ConfigurationReader, record: LogRecord, outcomes: FoldOutcome[]): ConfigurationReader {
    return reader.gap
        ? { ...reader, pending: [...reader.pending, record] }
        : fold(reader, [record], outcomes);
}

/**
 * Closes the gap and folds the records that were buffered after it. If the candidate has an older generation, only its
 * offset and shift are used: the reader keeps its objects, and a checkpoint of them becomes due.
 */
function closeGap(reader: ConfigurationReader, candidate: FoldState, outcomes: FoldOutcome[]): ConfigurationReader {
    const isOlder = candidate.generation < reader.state.generation;
    const { foldedOffset, shift } = candidate;
    const closed: ConfigurationReader = {
        ...reader,
        state: isOlder ? { ...reader.state, foldedOffset, shift } : candidate,
        checkpoint: isOlder ? undefined : reader.checkpoint,
        gap: undefined,
        pending: [],
    };
    return fold(closed, reader.pending, outcomes);
}

function fold(
    reader: ConfigurationReader,
    records: readonly LogRecord[],
    outcomes: FoldOutcome[],
): ConfigurationReader {
    let state = reader.state;
    for (const record of records) {
        const offset = record.offset + state.shift;
        if (offset > state.foldedOffset) {
            const result = foldRecord(state, { ...record, offset });
            state = result.state;
            outcomes.push(result.outcome);
        }
    }
    return { ...reader, state };
}

/**
 * Accepts the state of a peer. A newer state replaces the reader's. A state that covers the reader's gap closes it. Any
 * other state has no effect.
 */
export function acceptPeerState(reader: ConfigurationReader, peer: FoldState): ReadResult {
    const outcomes: FoldOutcome[] = [];
    if (isCovered(reader, peer)) {
        return { reader: closeGap(reader, peer, outcomes), outcomes };
    }
    if (!isNewerState(peer, reader.state)) {
        return { reader, outcomes };
    }
    if (reader.gap) {
        return { reader: replaceState(reader, peer), outcomes };
    }
    const nextOffset = peer.foldedOffset + 1 - peer.shift;
    return { reader: { ...reader, state: peer, nextOffset, last: undefined, atEnd: false }, outcomes };
}

/**
 * Whether a page that starts at the reader's last record comes from the log that the reader has read before. If the log
 * lost its records and was refilled, it has a different record at that offset.
 */
export function isSameLog(reader: ConfigurationReader, page: LogPage): boolean {
    const record = page.records.find(candidate => candidate.offset === reader.last?.offset);
    return page.endOffset >= reader.nextOffset && (!record || record.timeMs === reader.last?.timeMs);
}

/**
 * Starts again at offset 0 of a log that has lost its records and restarted. The state stays in force. Records are
 * folded again once a restart checkpoint has been read.
 */
export function acceptRestart(reader: ConfigurationReader): ConfigurationReader {
    return {
        ...reader,
        nextOffset: 0,
        last: undefined,
        gap: { fromOffset: reader.state.foldedOffset + 1, toOffset: Infinity, isRestart: true },
        pending: [],
        checkpoint: undefined,
        atEnd: false,
        isLogBehind: false,
    };
}

/** Returns the state for the restart checkpoint of a reader whose log has restarted. */
export function makeRestartState(reader: ConfigurationReader): FoldState {
    const foldedOffset = Math.max(reader.state.foldedOffset, reader.endOffset) + restartMarginOffsets;
    return { ...reader.state, foldedOffset };
}

/**
 * Skips the records of a gap when no checkpoint and no peer covers them. Later records are folded onto the state in
 * force. A checkpoint becomes due, so that other readers reach the same state.
 */
export function skipGap(reader: ConfigurationReader): ReadResult {
    const outcomes: FoldOutcome[] = [];
    if (!reader.gap || reader.gap.isRestart) {
        return { reader, outcomes };
    }
    return { reader: closeGap(reader, { ...reader.state, foldedOffset: reader.gap.toOffset }, outcomes), outcomes };
}

/** Conditions for writing another checkpoint. */
export interface CheckpointRules {
    /** Time for which the log retains a record, in milliseconds. */
    readonly retentionMs: number;
    /** Records after which a checkpoint is written regardless of its age. Bounds the start-up time of a reader. */
    readonly maxRecords: number;
}

/**
 * Whether a checkpoint should be written: the log contains none, the newest one has reached half the retention time, or
 * `maxRecords` records follow it. A reader that has a gap, has not reached the end of the log or has no configuration
 * writes none.
 *
 * @param wallMs current time in milliseconds since the Unix epoch
 */
export function isCheckpointDue(reader: ConfigurationReader, rules: CheckpointRules, wallMs: number): boolean {
    if (reader.gap || !reader.atEnd || reader.state.generation < 0) {
        return false;
    }
    const { checkpoint, state } = reader;
    return checkpoint === undefined
        || wallMs - checkpoint.timeMs >= rules.retentionMs / 2
        || state.foldedOffset - checkpoint.foldedOffset >= rules.maxRecords;
}
