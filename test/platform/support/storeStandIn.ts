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

/** A stand-in for the platform's store, which has keyed topics with one partition each. */
export interface StoreStandIn {
    readonly address: string;
    put(topic: string, key: string, value: string | object): void;
    remove(topic: string, key: string): void;
    setFault(fault: StoreFault): void;
    /** Drops the history of a topic. The newest record of each key can still be read through `log-newest`. */
    dropHistory(topic: string): void;
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
    readonly newest: Map<string, StoredRecord>;
    readonly waiters: Set<() => void>;
}

/** Starts a store on a free loopback port. */
export async function startStoreStandIn(): Promise<StoreStandIn> {
    const topics = new Map<string, StoredTopic>();
    let fault = StoreFault.None;
    let calls = 0;

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
        if (fault === StoreFault.Busy) {
            response.writeHead(503).end();
            return;
        }
        const topic = getTopic(url.searchParams.get("topic") ?? "");
        switch (url.pathname) {
            case "/jujubelane/log-newest":
                sendJson(response, 200, renderNewest(topic));
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
        listKeys: name => [...getTopic(name).newest.keys()],
        countCalls: () => calls,
        close: () => server.close(),
    };
}

function renderNewest(topic: StoredTopic): object {
    const items = [...topic.newest.values()].map(record => ({
        key: record.key,
        value: record.value.toString("base64"),
        offset: record.offset,
    }));
    return { items, has_more: false, end: topic.end };
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
