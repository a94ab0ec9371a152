import { LogPage } from "../ports/logService.js";
import { FoldOutcome, FoldOutcomeKind, RejectionReason } from "./fold.js";
import { ConfigurationObjects } from "./objects.js";
import { acceptPage, ConfigurationReader, makeConfigurationReader } from "./reader.js";

/** A change set in the history. */
export interface HistoryEntry {
    readonly offset: number;
    /** Time of its append on the log's clock, in milliseconds since the Unix epoch. */
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

/** Past change sets and generations, as far as the log still retains them. */
export interface ConfigurationHistory {
    readonly reader: ConfigurationReader;
    readonly entries: readonly HistoryEntry[];
    /** Objects of each generation that was read. Generations share unchanged sections. */
    readonly generations: ReadonlyMap<number, ConfigurationObjects>;
    /** Messages about invalid records. */
    readonly ignored: readonly string[];
}

/** Creates a history that has not read any records. */
export function makeConfigurationHistory(): ConfigurationHistory {
    return { reader: makeConfigurationReader(), entries: [], generations: new Map(), ignored: [] };
}

/**
 * Accepts a page that was read from the reader's next offset, and retains every generation in it.
 *
 * @example
 * const history = acceptHistoryPage(makeConfigurationHistory(), page);
 */
export function acceptHistoryPage(history: ConfigurationHistory, page: LogPage): ConfigurationHistory {
    let reader = history.reader;
    const entries = [...history.entries];
    const ignored = [...history.ignored];
    const generations = new Map(history.generations);
    // Records are accepted one at a time because a page with several records yields only its last generation.
    const pages = page.records.length === 0 ? [page] : page.records.map(record => ({ ...page, records: [record] }));
    for (const recordPage of pages) {
        const result = acceptPage(reader, recordPage);
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

/** Returns the history entry of a change set, or `undefined` for other records. */
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
