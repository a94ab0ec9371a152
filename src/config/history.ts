import { LogPage } from "../ports/logService.js";
import { FoldOutcome, FoldOutcomeKind, RejectionReason } from "./fold.js";
import { ConfigurationObjects } from "./objects.js";
import { acceptPage, ConfigurationReader, makeConfigurationReader } from "./reader.js";

/** One change set in the history. */
export interface HistoryEntry {
    readonly offset: number;
    /** Time of its append by the log's clock, in milliseconds since the Unix epoch. */
    readonly timeMs: number;
    readonly id: string;
    readonly author: string;
    readonly base: number;
    readonly reason?: string;
    readonly changes: number;
    readonly accepted: boolean;
    readonly rejection?: RejectionReason;
    readonly message?: string;
}

/** What a reader with a memory knows of the past, as far as the log still holds it. */
export interface ConfigurationHistory {
    readonly reader: ConfigurationReader;
    readonly entries: readonly HistoryEntry[];
    /** Objects of each generation seen. Sections that did not change are shared. */
    readonly generations: ReadonlyMap<number, ConfigurationObjects>;
    /** Records that failed their check, as text. */
    readonly ignored: readonly string[];
}

/** Returns a history that has read nothing. */
export function makeConfigurationHistory(): ConfigurationHistory {
    return { reader: makeConfigurationReader(), entries: [], generations: new Map(), ignored: [] };
}

/**
 * Accepts a page that was read from the reader's next offset and keeps every generation.
 *
 * @example
 * const history = acceptHistoryPage(makeConfigurationHistory(), page);
 */
export function acceptHistoryPage(history: ConfigurationHistory, page: LogPage): ConfigurationHistory {
    let reader = history.reader;
    const entries = [...history.entries];
    const ignored = [...history.ignored];
    const generations = new Map(history.generations);
    // One record at a time, because a page of many would show only its last generation.
    const pages = page.records.length === 0 ? [page] : page.records.map(record => ({ ...page, records: [record] }));
    for (const single of pages) {
        const result = acceptPage(reader, single);
        reader = result.reader;
        for (const outcome of result.outcomes) {
            const entry = makeHistoryEntry(outcome);
            if (entry) {
                entries.push(entry);
            }
            else if (outcome.kind === FoldOutcomeKind.Ignored) {
                ignored.push(`offset ${outcome.record.offset}: ${outcome.message}`);
            }
        }
        if (reader.state.generation >= 0) {
            generations.set(reader.state.generation, reader.state.objects);
        }
    }
    return { reader, entries, generations, ignored };
}

/** Describes what became of a change set; `undefined` for other records. */
export function makeHistoryEntry(outcome: FoldOutcome): HistoryEntry | undefined {
    if (outcome.kind !== FoldOutcomeKind.Accepted && outcome.kind !== FoldOutcomeKind.Rejected) {
        return undefined;
    }
    const { offset, timeMs } = outcome.record;
    const { id, author, base, reason, changes } = outcome.changeSet;
    const entry = { offset, timeMs, id, author, base, reason, changes: changes.length };
    return outcome.kind === FoldOutcomeKind.Accepted
        ? { ...entry, accepted: true }
        : { ...entry, accepted: false, rejection: outcome.reason, message: outcome.message };
}
