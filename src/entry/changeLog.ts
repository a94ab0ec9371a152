import { FoldOutcomeKind } from "../config/fold.js";
import { Configuration } from "../config/objects.js";
import { ConfigurationReader, ReadResult } from "../config/reader.js";
import { ConfigurationChangeMessage, LinkMessageType } from "../link/messages.js";
import { LogRecord } from "../ports/logService.js";

/** The newest change sets, which are sent to peers that are only a few generations behind. */
export interface ChangeLog {
    /** Adds the records that a read has added to a reader. */
    accept(previous: ConfigurationReader, result: ReadResult): void;
    /** Builds the message for a peer at generation `base`; `undefined` if some of the records after it are missing. */
    buildMessage(base: number, current: Configuration): ConfigurationChangeMessage | undefined;
}

/** A peer that lacks more records than this receives the complete configuration. */
const maxRecords = 100;

/**
 * Creates an empty change log. Complete configurations are large (about 200 bytes for each customer and endpoint), so a
 * peer that only lacks the last changes receives just these.
 *
 * @example
 * const changes = createChangeLog();
 */
export function createChangeLog(): ChangeLog {
    let records: LogRecord[] = [];
    let fromOffset = Infinity;
    return {
        accept(previous, result) {
            const { reader, outcomes } = result;
            const isFolded = reader.state.generation === previous.state.generation
                || outcomes.some(outcome => outcome.kind === FoldOutcomeKind.Accepted);
            const isContiguous = isFolded && !previous.gap && !reader.gap
                && previous.state.shift === reader.state.shift;
            if (!isContiguous || fromOffset === Infinity) {
                records = [];
                fromOffset = isContiguous
                    ? previous.state.foldedOffset
                    : reader.gap
                    ? Infinity
                    : reader.state.foldedOffset;
            }
            for (const { kind, record } of isContiguous ? outcomes : []) {
                if (kind === FoldOutcomeKind.Accepted || kind === FoldOutcomeKind.Rejected) {
                    records.push(record);
                }
            }
            const dropped = records.splice(0, Math.max(0, records.length - maxRecords));
            fromOffset = dropped.at(-1)?.offset ?? fromOffset;
        },
        buildMessage(base, current) {
            const laterRecords = records.filter(record => record.offset > base);
            if (base < fromOffset || laterRecords.length === 0) {
                return undefined;
            }
            const { generation, digest } = current;
            return { type: LinkMessageType.ConfigurationChange, base, generation, digest, records: laterRecords };
        },
    };
}
