/** Splits the bytes of a server-sent event stream into complete events and tracks their ids. */
export interface EventStreamSplitter {
    /** Adds received bytes. Returns the bytes of the events that are now complete, or `undefined` if there is none. */
    add(bytes: Buffer): Buffer | undefined;
    /** Returns the id of the first event. */
    getFirstId(): number | undefined;
    /** Returns the id of the newest complete event. */
    getLastId(): number | undefined;
    /** Returns the number of complete events so far. */
    countEvents(): number;
    /** Removes and returns the bytes of the last, incomplete event. */
    takeRemainder(): Buffer;
}

const eventEnd = Buffer.from("\n\n");
const idField = Buffer.from("id:");

/**
 * Creates a splitter. Customers are sent complete events only, so that a stream that breaks in the middle of an event
 * can be resumed at another endpoint after the last complete event.
 *
 * @example
 * splitter.add(Buffer.from("id: 1\ndata: a\n\nid: 2")); // the bytes of event 1
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
