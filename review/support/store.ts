/* eslint-disable no-restricted-syntax -- runs on the real clock */
import { createServer, IncomingMessage, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";

/** A stand-in for the platform's store: keyed topics with one partition. */
export interface Store {
    readonly address: string;
    put(topic: string, key: string, value: object): void;
    remove(topic: string, key: string): void;
    close(): void;
}

interface StoredRecord {
    readonly key: string;
    readonly value: Buffer;
    readonly offset: number;
}

interface Topic {
    readonly records: StoredRecord[];
    readonly newest: Map<string, StoredRecord>;
    readonly waiters: Set<() => void>;
}

async function readAll(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}

function encode({ key, value }: StoredRecord): Buffer {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
}

function sendJson(response: ServerResponse, status: number, body: object): void {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
}

/** Starts a store on a free loopback port. */
export async function startStore(): Promise<Store> {
    const topics = new Map<string, Topic>();

    function getTopic(name: string): Topic {
        const found = topics.get(name) ?? { records: [], newest: new Map(), waiters: new Set() };
        topics.set(name, found);
        return found;
    }

    function append(name: string, key: string, value: Buffer): number {
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
        return record.offset;
    }

    function waitForRecord(topic: Topic, waitMs: number, response: ServerResponse): Promise<void> {
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

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        const body = await readAll(request);
        const name = url.searchParams.get("topic") ?? "";
        const topic = getTopic(name);
        if (url.pathname.endsWith("/log-newest")) {
            const after = url.searchParams.get("after") ?? "";
            const all = [...topic.newest.values()].filter(({ key }) => key > after)
                .sort((left, right) => left.key < right.key ? -1 : 1);
            const items = all.slice(0, 500).map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
            sendJson(response, 200, { items, has_more: all.length > 500, end: topic.records.length });
        }
        else if (url.pathname.endsWith("/log-append")) {
            let offset = topic.records.length;
            for (let start = 0; start < body.length;) {
                const end = start + 4 + body.readUInt32BE(start);
                const keyEnd = start + 5 + body[start + 4]!;
                offset = append(name, body.toString("utf8", start + 5, keyEnd), Buffer.from(body.subarray(keyEnd, end)));
                start = end;
            }
            sendJson(response, 200, { offset, end: topic.records.length });
        }
        else if (url.pathname.endsWith("/log-read")) {
            const from = Number(url.searchParams.get("from"));
            if (from >= topic.records.length) {
                await waitForRecord(topic, Number(url.searchParams.get("wait_ms") ?? 0), response);
            }
            const header = Buffer.alloc(16);
            header.writeBigUInt64BE(BigInt(topic.records.length), 0);
            response.writeHead(200).end(Buffer.concat([header, ...topic.records.slice(from).map(encode)]));
        }
        else {
            sendJson(response, 404, {});
        }
    }

    const server = createServer((request, response) => void handle(request, response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        put: (topic, key, value) => void append(topic, key, Buffer.from(JSON.stringify(value))),
        remove: (topic, key) => void append(topic, key, Buffer.alloc(0)),
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}
