import { LogPage } from "../ports/logService.js";

/** What a reader has read of a stream. */
export interface LogPosition {
    readonly nextOffset: number;
    /** Era of the last page, if the log names one. */
    readonly era: number | undefined;
}

/** The position of a reader that has read nothing. */
export const startOfLog: LogPosition = { nextOffset: 0, era: undefined };

/**
 * Returns whether a page belongs to the records that a reader has read before. If it does not, the log has lost records
 * since, and the reader must read it anew from offset 0. A log that names no era is recognised by its end only.
 *
 * @example
 * isContinuation({ nextOffset: 9, era: 1 }, { records, firstOffset: 0, endOffset: 12, era: 2 }); // false
 */
export function isContinuation(position: LogPosition, page: LogPage): boolean {
    const isSameEra = position.era === undefined || page.era === position.era;
    return isSameEra && page.endOffset >= position.nextOffset;
}
