/** Splits the bytes of a server-sent event stream into complete events and tracks their ids. */
export interface EventStreamSplitter {
    /**
     * Adds received bytes. Returns the bytes of the events that are now complete, with the comments before them, or
     * `undefined` if there is none.
     */
    add(bytes: Buffer): Buffer | undefined;
    /** Returns the id of the first event. */
    getFirstId(): number | undefined;
    /** Returns the id of the newest complete event. */
    getLastId(): number | undefined;
    /** Returns the number of complete events so far. */
    countEvents(): number;
    /** Returns the number of bytes that no complete event has followed yet. */
    countPendingBytes(): number;
    /** Removes and returns the comments after the last event. */
    takeComments(): Buffer;
    /** Returns whether the last event is incomplete. */
    hasRemainder(): boolean;
    /** Removes and returns the bytes of the last, incomplete event. */
    takeRemainder(): Buffer;
}

const eventEnd = Buffer.from("\n\n");
const lineFeed = 0x0a;
const colon = 0x3a;
const idField = Buffer.from("id:");

/**
 * Creates a splitter. Customers are sent complete events only, so that a stream that breaks in the middle of an event
 * can be resumed at another endpoint after the last complete event.
 *
 * Each byte is searched once, however many pieces an event arrives in.
 *
 * @example
 * splitter.add(Buffer.from("id: 1\ndata: a\n\nid: 2")); // the bytes of event 1
 */
export function createEventStreamSplitter(): EventStreamSplitter {
    /** Complete comments that no event has followed yet. Comments alone are no progress of a stream. */
    let comments: Buffer[] = [];
    let commentBytes = 0;
    /** Pieces of the last event, which is incomplete. None of them contains the end of an event. */
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    let firstId: number | undefined;
    let lastId: number | undefined;
    let eventCount = 0;

    function scanEvents(events: Buffer): void {
        let start = 0;
        for (let end = events.indexOf(eventEnd); end >= 0; end = events.indexOf(eventEnd, start)) {
            const event = events.subarray(start, end);
            if (!isComment(event)) {
                lastId = parseEventId(event) ?? lastId;
                firstId ??= lastId;
                eventCount += 1;
            }
            start = end + eventEnd.length;
        }
    }

    function takeComments(): Buffer {
        const taken = Buffer.concat(comments);
        comments = [];
        commentBytes = 0;
        return taken;
    }

    function keepPending(bytes: Buffer): void {
        if (bytes.length > 0) {
            pending.push(bytes);
            pendingBytes += bytes.length;
        }
    }

    /** Returns the position in `bytes` after the last event that ends in them, or 0 if none does. */
    function findEnd(bytes: Buffer): number {
        const lastEnd = bytes.lastIndexOf(eventEnd);
        if (lastEnd >= 0) {
            return lastEnd + eventEnd.length;
        }
        const previous = pending.at(-1);
        const isEndSplit = bytes[0] === lineFeed && previous?.[previous.length - 1] === lineFeed;
        return isEndSplit ? 1 : 0;
    }

    return {
        add(bytes) {
            const end = findEnd(bytes);
            if (end === 0) {
                keepPending(bytes);
                return undefined;
            }
            const last = bytes.subarray(0, end);
            const events = pending.length === 0 ? last : Buffer.concat([...pending, last]);
            pending = [];
            pendingBytes = 0;
            keepPending(bytes.subarray(end));
            const countBefore = eventCount;
            scanEvents(events);
            if (eventCount === countBefore) {
                comments.push(events);
                commentBytes += events.length;
                return undefined;
            }
            return commentBytes === 0 ? events : Buffer.concat([takeComments(), events]);
        },
        getFirstId: () => firstId,
        getLastId: () => lastId,
        countEvents: () => eventCount,
        countPendingBytes: () => commentBytes + pendingBytes,
        takeComments,
        hasRemainder: () => pendingBytes > 0,
        takeRemainder() {
            const taken = Buffer.concat(pending);
            pending = [];
            pendingBytes = 0;
            return taken;
        },
    };
}

/** Returns whether all lines of a block are comments, which a server sends to keep a connection open. */
function isComment(block: Buffer): boolean {
    for (let start = 0; start < block.length;) {
        if (block[start] !== colon) {
            return false;
        }
        const lineEnd = block.indexOf("\n", start);
        start = lineEnd < 0 ? block.length : lineEnd + 1;
    }
    return true;
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
