import { IncomingMessage, ServerResponse } from "node:http";
import { readBody, RunningServer, sendJson, startHttpServer } from "../../../src/emulator/httpServer.js";

/** A fault that the store simulates. */
export enum StoreFault {
    None = "none",
    /** Answers 503. */
    Busy = "busy",
    /** Keeps connections open and never answers. */
    Silent = "silent",
    /** Closes the connection of each request. */
    Reset = "reset",
}

/** The records of a store at one moment. */
export type StoreCopy = ReadonlyMap<string, Pick<StoredTopic, "records" | "end" | "newest">>;

/** A stand-in for the platform's store, which has keyed topics with one partition each. */
export interface StoreStandIn {
    readonly address: string;
    put(topic: string, key: string, value: string | object): void;
    remove(topic: string, key: string): void;
    setFault(fault: StoreFault): void;
    /** Drops the history of a topic. The newest record of each key can still be read through `log-newest`. */
    dropHistory(topic: string): void;
    /** Sets the number of keys in one page of a full read. */
    setPageSize(keys: number): void;
    /** Copies all records. */
    makeCopy(): StoreCopy;
    /**
     * Comes back from a copy: what was written since is lost, offsets are given out again, and the era rises. Reads that
     * wait go on, unless their connections are closed by a fault.
     */
    restore(copy: StoreCopy): void;
    /** Calls `listener` before each answer, which it can change the store ahead of. */
    onCall(listener: (path: string) => void): void;
    getEra(): number;
    listKeys(topic: string): string[];
    countCalls(): number;
    close(): Promise<void>;
}

interface StoredRecord {
    readonly offset: number;
    readonly key: string;
    readonly value: Buffer;
}

interface StoredTopic {
    records: StoredRecord[];
    end: number;
    newest: Map<string, StoredRecord>;
    readonly waiters: Set<() => void>;
}

/** Starts a store on a free loopback port. */
export async function startStoreStandIn(): Promise<StoreStandIn> {
    const topics = new Map<string, StoredTopic>();
    let fault = StoreFault.None;
    let calls = 0;
    let era = 1;
    let pageSize = Number.POSITIVE_INFINITY;
    let handleCall: (path: string) => void = () => undefined;

    function getTopic(name: string): StoredTopic {
        let topic = topics.get(name);
        if (!topic) {
            topic = { records: [], end: 0, newest: new Map(), waiters: new Set() };
            topics.set(name, topic);
        }
        return topic;
    }

    function append(name: string, key: string, value: Buffer): void {
        const topic = getTopic(name);
        const record = { offset: topic.end, key, value };
        topic.end += 1;
        topic.records.push(record);
        if (value.length > 0) {
            topic.newest.set(key, record);
        }
        else {
            topic.newest.delete(key);
        }
        [...topic.waiters].forEach(wake => wake());
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        calls += 1;
        const url = new URL(request.url ?? "/", "http://store");
        const body = await readBody(request);
        if (fault === StoreFault.Silent) {
            return;
        }
        if (fault === StoreFault.Reset) {
            request.socket.destroy();
            return;
        }
        handleCall(url.pathname + url.search);
        response.setHeader("Store-Era", String(era));
        if (fault === StoreFault.Busy) {
            response.writeHead(503).end();
            return;
        }
        const topic = getTopic(url.searchParams.get("topic") ?? "");
        switch (url.pathname) {
            case "/jujubelane/log-newest":
                sendJson(response, 200, renderNewest(topic, url.searchParams.get("after") ?? "", pageSize));
                return;
            case "/jujubelane/log-append":
                appendAll(url.searchParams.get("topic") ?? "", body);
                sendJson(response, 200, { offset: topic.end - 1, end: topic.end });
                return;
            case "/jujubelane/log-read":
                await sendRecords(topic, url.searchParams, response);
                return;
            default:
                response.writeHead(404).end();
        }
    }

    function appendAll(name: string, body: Buffer): void {
        for (let position = 0; position < body.length;) {
            const length = body.readUInt32BE(position);
            const content = body.subarray(position + 4, position + 4 + length);
            const keyEnd = 1 + content[0]!;
            append(name, content.toString("utf8", 1, keyEnd), Buffer.from(content.subarray(keyEnd)));
            position += 4 + length;
        }
    }

    async function sendRecords(topic: StoredTopic, query: URLSearchParams, response: ServerResponse): Promise<void> {
        const from = Number(query.get("from"));
        const first = topic.records[0]?.offset ?? topic.end;
        if (from < first) {
            sendJson(response, 410, { first });
            return;
        }
        if (from >= topic.end) {
            await waitForRecord(topic, Number(query.get("wait_ms") ?? 0), response);
        }
        // The store may have been restored meanwhile.
        response.setHeader("Store-Era", String(era));
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(BigInt(topic.end), 0);
        header.writeBigUInt64BE(BigInt(first), 8);
        const records = topic.records.filter(record => record.offset >= from).map(encodeStoredRecord);
        response.writeHead(200).end(Buffer.concat([header, ...records]));
    }

    const server: RunningServer = await startHttpServer(0, handle);
    return {
        address: `127.0.0.1:${server.port}`,
        put: (topic, key, value) =>
            append(topic, key, Buffer.from(typeof value === "string" ? value : JSON.stringify(value))),
        remove: (topic, key) => append(topic, key, Buffer.alloc(0)),
        setFault(next) {
            fault = next;
        },
        dropHistory(name) {
            getTopic(name).records = [];
        },
        setPageSize(keys) {
            pageSize = keys;
        },
        makeCopy: () =>
            new Map([...topics].map(([name, { records, end, newest }]) => [
                name,
                { records: [...records], end, newest: new Map(newest) },
            ])),
        restore(copy) {
            era += 1;
            for (const [name, topic] of topics) {
                const copied = copy.get(name);
                topic.records = [...copied?.records ?? []];
                topic.end = copied?.end ?? 0;
                topic.newest = new Map(copied?.newest);
            }
        },
        onCall(listener) {
            handleCall = listener;
        },
        getEra: () => era,
        listKeys: name => [...getTopic(name).newest.keys()],
        countCalls: () => calls,
        close: () => server.close(),
    };
}

function renderNewest(topic: StoredTopic, after: string, pageSize: number): object {
    const remaining = [...topic.newest.values()].filter(record => record.key > after)
        .sort((left, right) => left.key < right.key ? -1 : 1);
    const items = remaining.slice(0, pageSize).map(record => ({
        key: record.key,
        value: record.value.toString("base64"),
        offset: record.offset,
    }));
    return { items, has_more: remaining.length > pageSize, end: topic.end };
}

function encodeStoredRecord(record: StoredRecord): Buffer {
    const key = Buffer.from(record.key);
    const content = Buffer.concat([Buffer.from([key.length]), key, record.value]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
}

function waitForRecord(topic: StoredTopic, waitMs: number, response: ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const finish = () => {
            clearTimeout(timer);
            topic.waiters.delete(finish);
            resolve();
        };
        const timer = setTimeout(finish, waitMs);
        topic.waiters.add(finish);
        response.once("close", finish);
    });
}
