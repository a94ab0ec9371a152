/** Cuts the bytes of an event stream into whole events and follows their ids. */
export interface EventStreamCutter {
    /** Adds bytes; returns the whole events that are new, as they came, or `undefined` if none is whole. */
    add(bytes: Buffer): Buffer | undefined;
    /** Id of the first event. */
    getFirstId(): number | undefined;
    /** Id of the newest whole event. */
    getLastId(): number | undefined;
    /** Number of whole events so far. */
    countEvents(): number;
    /** Bytes of an event that is not whole. */
    takeRest(): Buffer;
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
export function createEventStreamCutter(): EventStreamCutter {
    let rest: Buffer = Buffer.alloc(0);
    let firstId: number | undefined;
    let lastId: number | undefined;
    let events = 0;

    function scanEvents(whole: Buffer): void {
        let start = 0;
        for (let end = whole.indexOf(eventEnd); end >= 0; end = whole.indexOf(eventEnd, start)) {
            lastId = parseEventId(whole.subarray(start, end)) ?? lastId;
            firstId ??= lastId;
            events += 1;
            start = end + eventEnd.length;
        }
    }

    return {
        add(bytes) {
            const all = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
            const lastEnd = all.lastIndexOf(eventEnd);
            if (lastEnd < 0) {
                rest = all;
                return undefined;
            }
            const whole = all.subarray(0, lastEnd + eventEnd.length);
            rest = all.subarray(whole.length);
            scanEvents(whole);
            return whole;
        },
        getFirstId: () => firstId,
        getLastId: () => lastId,
        countEvents: () => events,
        takeRest() {
            const taken = rest;
            rest = Buffer.alloc(0);
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
