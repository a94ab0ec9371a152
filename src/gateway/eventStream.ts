/** Cuts the bytes of an event stream into whole events and follows their ids. */
export interface EventStreamSplitter {
    /** Adds bytes; returns the whole events that are new, as they came, or `undefined` if none is whole. */
    add(bytes: Buffer): Buffer | undefined;
    /** Id of the first event. */
    getFirstId(): number | undefined;
    /** Id of the newest whole event. */
    getLastId(): number | undefined;
    /** Number of whole events so far. */
    countEvents(): number;
    /** Bytes of an event that is not whole. */
    takeRemainder(): Buffer;
}

const eventEnd = Buffer.from("\n\n");
const idField = Buffer.from("id:");

/**
 * Creates a cutter. Customers are sent whole events only, so that a stream that breaks in the middle of an event can go
 * on at another endpoint after the last whole one.
 *
 * @example
 * cutter.add(Buffer.from("id: 1\ndata: a\n\nid: 2")); // the bytes of event 1
 */
export function createEventStreamSplitter(): EventStreamSplitter {
    let remainder: Buffer = Buffer.alloc(0);
    let firstId: number | undefined;
    let lastId: number | undefined;
    let eventCount = 0;

    function scanEvents(events: Buffer): void {
        let start = 0;
        for (let end = events.indexOf(eventEnd); end >= 0; end = events.indexOf(eventEnd, start)) {
            lastId = parseEventId(events.subarray(start, end)) ?? lastId;
            firstId ??= lastId;
            eventCount += 1;
            start = end + eventEnd.length;
        }
    }

    return {
        add(bytes) {
            const all = remainder.length === 0 ? bytes : Buffer.concat([remainder, bytes]);
            const lastEnd = all.lastIndexOf(eventEnd);
            if (lastEnd < 0) {
                remainder = all;
                return undefined;
            }
            const events = all.subarray(0, lastEnd + eventEnd.length);
            remainder = all.subarray(events.length);
            scanEvents(events);
            return events;
        },
        getFirstId: () => firstId,
        getLastId: () => lastId,
        countEvents: () => eventCount,
        takeRemainder() {
            const taken = remainder;
            remainder = Buffer.alloc(0);
            return taken;
        },
    };
}

function parseEventId(event: Buffer): number | undefined {
    for (let start = 0; start < event.length;) {
        const lineEnd = event.indexOf("\n", start);
        const end = lineEnd < 0 ? event.length : lineEnd;
        if (event.subarray(start, start + idField.length).equals(idField)) {
            const id = Number(event.toString("latin1", start + idField.length, end).trim());
            return Number.isInteger(id) ? id : undefined;
        }
        start = end + 1;
    }
    return undefined;
}
