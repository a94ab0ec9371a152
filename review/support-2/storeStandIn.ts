/* eslint-disable no-restricted-syntax -- runs on the real clock */
import { createServer, IncomingMessage, ServerResponse } from "node:http";
import { AddressInfo, Socket } from "node:net";

/** A platform store with keyed topics of one partition each, as the page PROTOCOL describes it. */
export interface StoreStandIn {
    readonly address: string;
    put(topic: string, key: string, value: object): void;
    remove(topic: string, key: string): void;
    close(): Promise<void>;
}

interface StoredRecord {
    readonly key: string;
    readonly value: Buffer;
    readonly offset: number;
}

interface StoredTopic {
    readonly records: StoredRecord[];
    readonly newest: Map<string, StoredRecord>;
    readonly waiters: Set<() => void>;
}

/** Most keys in one page of a full read. */
const pageSize = 500;

function encodeRecord({ key, value }: StoredRecord): Buffer {
    const keyBytes = Buffer.from(key, "utf8");
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}

function sendJson(response: ServerResponse, status: number, value: object): void {
    const body = Buffer.from(JSON.stringify(value));
    response.writeHead(status, { "content-type": "application/json", "content-length": body.length }).end(body);
}

/** Waits until a topic has a record at an offset, but not longer than `waitMs`. */
function waitForRecord(topic: StoredTopic, from: number, waitMs: number, response: ServerResponse): Promise<void> {
    if (from < topic.records.length || waitMs <= 0) {
        return Promise.resolve();
    }
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

/** Starts a store on a free loopback port. */
export async function startStoreStandIn(): Promise<StoreStandIn> {
    const topics = new Map<string, StoredTopic>();
    const sockets = new Set<Socket>();

    function getTopic(name: string): StoredTopic {
        const topic = topics.get(name) ?? { records: [], newest: new Map(), waiters: new Set() };
        topics.set(name, topic);
        return topic;
    }

    function append(name: string, key: string, value: Buffer): void {
        const topic = getTopic(name);
        const record = { key, value, offset: topic.records.length };
        topic.records.push(record);
        if (value.length > 0) {
            topic.newest.set(key, record);
        }
        else {
            topic.newest.delete(key);
        }
        [...topic.waiters].forEach(wake => wake());
    }

    function appendAll(name: string, body: Buffer): void {
        for (let position = 0; position + 4 <= body.length;) {
            const length = body.readUInt32BE(position);
            const content = body.subarray(position + 4, position + 4 + length);
            const keyEnd = 1 + content[0]!;
            append(name, content.toString("utf8", 1, keyEnd), Buffer.from(content.subarray(keyEnd)));
            position += 4 + length;
        }
    }

    function sendNewest(topic: StoredTopic, after: string, response: ServerResponse): void {
        const left = [...topic.newest.values()].filter(record => record.key > after)
            .sort((first, second) => first.key < second.key ? -1 : 1);
        sendJson(response, 200, {
            items: left.slice(0, pageSize).map(({ key, value, offset }) => ({
                key,
                value: value.toString("base64"),
                offset,
            })),
            has_more: left.length > pageSize,
            end: topic.records.length,
        });
    }

    async function sendRecords(topic: StoredTopic, query: URLSearchParams, response: ServerResponse): Promise<void> {
        const from = Number(query.get("from"));
        await waitForRecord(topic, from, Number(query.get("wait_ms") ?? 0), response);
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        const body = Buffer.concat([head, ...topic.records.slice(from).map(encodeRecord)]);
        response.writeHead(200, { "content-length": body.length }).end(body);
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        const body = await readBody(request);
        const name = url.searchParams.get("topic") ?? "";
        const topic = getTopic(name);
        switch (url.pathname) {
            case "/jujubelane/log-newest":
                sendNewest(topic, url.searchParams.get("after") ?? "", response);
                return;
            case "/jujubelane/log-read":
                await sendRecords(topic, url.searchParams, response);
                return;
            case "/jujubelane/log-append":
                appendAll(name, body);
                sendJson(response, 200, { offset: topic.records.length - 1, end: topic.records.length });
                return;
            default:
                response.writeHead(404).end();
        }
    }

    const server = createServer((request, response) => {
        handle(request, response).catch(() => response.destroy());
    });
    server.on("connection", (socket: Socket) => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        address: `127.0.0.1:${port}`,
        put: (topic, key, value) => append(topic, key, Buffer.from(JSON.stringify(value))),
        remove: (topic, key) => append(topic, key, Buffer.alloc(0)),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                sockets.forEach(socket => socket.destroy());
            }),
    };
}
