import { LogPage, LogRecord } from "../ports/logService.js";
import { parseCheckpoint } from "./checkpoint.js";
import { FoldOutcome, FoldOutcomeKind, foldRecord, FoldState, isCheckpointValue, makeEmptyFoldState } from "./fold.js";

/** Newest checkpoint that a reader has seen in the log. */
export interface SeenCheckpoint {
    /** Offset in the log's stream. */
    readonly offset: number;
    readonly foldedOffset: number;
    /** Time of its append by the log's clock, in milliseconds since the Unix epoch. */
    readonly timeMs: number;
}

/** Records that a reader cannot read any more. */
export interface ReadGap {
    readonly fromOffset: number;
    /** Last missing offset; the end is not known when the log has started again. */
    readonly toOffset: number;
    /** Whether the log lost its records and started again at offset 0. */
    readonly isRestart: boolean;
}

/** What one reader of the configuration's stream knows. Offsets here are the log's own; those of the state may be shifted. */
export interface ConfigurationReader {
    readonly state: FoldState;
    /** Offset of the stream to read from next. */
    readonly nextOffset: number;
    /** Last record read, by which a log that started again is recognised. */
    readonly last: Pick<LogRecord, "offset" | "timeMs"> | undefined;
    /** Set while records are missing between the state and `pending`. */
    readonly gap: ReadGap | undefined;
    /** Records after the gap, kept until a checkpoint or a peer covers it. */
    readonly pending: readonly LogRecord[];
    readonly checkpoint: SeenCheckpoint | undefined;
    /** Whether the reader has reached the log's end as of the last page. */
    readonly atEnd: boolean;
    /** End of the stream as of the last page. */
    readonly endOffset: number;
    /** Whether the log ended before records that the reader has folded already. */
    readonly isLogBehind: boolean;
}

/** New reader and what became of each record. */
export interface ReadResult {
    readonly reader: ConfigurationReader;
    readonly outcomes: readonly FoldOutcome[];
}

/** Offsets that a restart checkpoint skips, so that it lies above every offset that the new log may have used. */
const restartMargin = 1_000;

/** Returns a reader that has read nothing. */
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

/** Whether `candidate` is newer: its generation decides, then how far it is folded. */
export function isNewerState(candidate: FoldState, current: FoldState): boolean {
    return candidate.generation > current.generation
        || (candidate.generation === current.generation && candidate.foldedOffset > current.foldedOffset);
}

/**
 * Accepts a page that was read from the reader's next offset. A page that is older than the state, in part or whole,
 * changes nothing: the state only moves forward, whatever the log shows.
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
        return foldOrKeep(reader, record, outcomes);
    }
    const checkpoint = parseCheckpoint(record.value);
    if (typeof checkpoint === "string") {
        outcomes.push({ kind: FoldOutcomeKind.Ignored, record, message: checkpoint });
        return foldOrKeep(reader, record, []);
    }
    const { offset, timeMs } = record;
    const seen = { ...reader, checkpoint: { offset, foldedOffset: checkpoint.state.foldedOffset, timeMs } };
    const shift = reader.gap?.isRestart ? 0 : reader.state.shift;
    if (checkpoint.restart && checkpoint.state.foldedOffset >= offset + shift) {
        const restarted = { ...checkpoint.state, shift: checkpoint.state.foldedOffset + 1 - offset };
        return fold(closeGap(seen, restarted, outcomes), [record], outcomes);
    }
    if (isCovered(reader, checkpoint.state)) {
        return fold(closeGap(seen, checkpoint.state, outcomes), [record], outcomes);
    }
    const isAhead = checkpoint.state.generation > reader.state.generation
        && checkpoint.state.foldedOffset >= reader.state.foldedOffset;
    return foldOrKeep(isAhead ? replaceState(seen, checkpoint.state) : seen, record, outcomes);
}

/** Replaces the state by a newer one. A gap that the newer state does not cover stays. */
function replaceState(reader: ConfigurationReader, state: FoldState): ConfigurationReader {
    const gap = reader.gap && { ...reader.gap, fromOffset: state.foldedOffset + 1 };
    return { ...reader, state, gap };
}

/** Whether a state lets the reader fold on over its gap. */
function isCovered(reader: ConfigurationReader, candidate: FoldState): boolean {
    if (!reader.gap) {
        return false;
    }
    return reader.gap.isRestart
        // Only a state from after the restart has another shift.
        ? candidate.shift !== reader.state.shift && candidate.generation >= reader.state.generation
        : candidate.foldedOffset >= reader.gap.toOffset;
}

function foldOrKeep(reader: ConfigurationReader, record: LogRecord, outcomes: FoldOutcome[]): ConfigurationReader {
    return reader.gap
        ? { ...reader, pending: [...reader.pending, record] }
        : fold(reader, [record], outcomes);
}

/**
 * Ends the gap and folds what was kept after it. A candidate with an older generation only says up to where the log
 * is covered: the objects stay, and a checkpoint of them becomes due.
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
 * Accepts a state that a peer holds. An older one changes nothing; a newer one also closes a gap that it covers.
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
 * Whether a page that starts at the reader's last record shows the same log. A log that lost its records and was
 * filled again has another record there.
 */
export function isSameLog(reader: ConfigurationReader, page: LogPage): boolean {
    const record = page.records.find(candidate => candidate.offset === reader.last?.offset);
    return page.endOffset >= reader.nextOffset && (!record || record.timeMs === reader.last?.timeMs);
}

/**
 * Starts to read a log again that has lost its records and started at offset 0. The state stays in force; records are
 * folded again after a restart checkpoint.
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

/** State for the restart checkpoint of a reader whose log has started again. */
export function makeRestartState(reader: ConfigurationReader): FoldState {
    const foldedOffset = Math.max(reader.state.foldedOffset, reader.endOffset) + restartMargin;
    return { ...reader.state, foldedOffset };
}

/**
 * Gives up the records of a gap: no checkpoint and no peer holds what they contained. The state in force stays and
 * later records are folded onto it. A checkpoint becomes due, so that other readers continue the same way.
 */
export function skipGap(reader: ConfigurationReader): ReadResult {
    const outcomes: FoldOutcome[] = [];
    if (!reader.gap || reader.gap.isRestart) {
        return { reader, outcomes };
    }
    return { reader: closeGap(reader, { ...reader.state, foldedOffset: reader.gap.toOffset }, outcomes), outcomes };
}

/** When a checkpoint is written again. */
export interface CheckpointRules {
    /** Time for which the log keeps a record, in milliseconds. */
    readonly retentionMs: number;
    /** Records after which a checkpoint is written even if the last one is young; bounds the time of a start. */
    readonly maxRecords: number;
}

/**
 * Whether a checkpoint should be written: none is in the log, the newest has reached half of the retention, or many
 * records follow it. A reader with a gap or without a configuration writes none.
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
