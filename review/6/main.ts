/* eslint-disable no-restricted-syntax -- runs on the real clock */
import { createServer, IncomingMessage, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { CaseExit, CaseRecord, isCalm, runCase } from "../support-2/caseRecord.js";
import { publishConfiguration, registerRunner } from "../support-2/configuration.js";
import { CustomerResult, sendRequest } from "../support-2/customer.js";
import { startGatewayProcess } from "../support-2/gatewayProcess.js";
import { startStoreStandIn } from "../support-2/storeStandIn.js";

/** One of eight runners of the booking service fails part of its requests with a 503, after it has run them. */

const zones = ["larisa", "trikala", "karditsa"];
const runners = 8;
const bookings = 200;
const pauseMs = 60;
const workMs = 43;
const deadlineMs = 1_000;
/** Share of the requests that the grey runner fails. */
const failedShare = 0.4;
/** Statuses that promise that the request has not run and never will. */
const promisingStatuses = new Set([408, 421, 429, 503]);

/** A booking that a runner has carried out. */
interface Run {
    readonly requestId: string;
    readonly booking: string;
    readonly runner: string;
}

async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Starts a runner. It carries out each request that it does not reject. */
async function startRunner(id: string, isGrey: boolean, runs: Run[], record: CaseRecord): Promise<string> {
    let count = 0;

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const booking = await readText(request);
        const requestId = String(request.headers["x-request-id"]);
        if (request.url === "/health") {
            response.writeHead(200, { "X-Runner-Id": id }).end();
            return;
        }
        if (request.headers["x-expect-instance"] !== id) {
            response.writeHead(421, { "X-Runner-Id": id }).end();
            return;
        }
        await wait(workMs);
        runs.push({ requestId, booking, runner: id });
        count += 1;
        const mustFail = isGrey && Math.floor(count * failedShare) > Math.floor((count - 1) * failedShare);
        const status = mustFail ? 503 : 200;
        record.add(`${id} ran ${requestId} (${booking}) and answers ${status}`);
        const body = mustFail ? "the booking was stored, its receipt could not be made" : `booked ${booking}`;
        response.writeHead(status, {
            "X-Request-Id": requestId,
            "X-Response-Seal": `seal-${id}-${count}`,
            "Content-Length": String(Buffer.byteLength(body)),
        }).end(body);
    }

    const server = createServer((request, response) => {
        handle(request, response).catch(() => response.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    record.onEnd(() => {
        server.close();
        server.closeAllConnections();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends a booking as a consumer does: a new attempt follows only after a status that promises that it has not run. */
async function book(port: number, booking: string, record: CaseRecord): Promise<readonly CustomerResult[]> {
    const results: CustomerResult[] = [];
    for (let attempt = 0; attempt < 2; attempt++) {
        const result = await sendRequest(port, {
            method: "POST",
            path: "/book/1",
            deadlineMs,
            body: Buffer.from(booking),
        });
        results.push(result);
        record.add(`${booking} attempt ${attempt + 1}: ${result.id} got ${result.status} in ${result.tookMs} ms`);
        if (!promisingStatuses.has(result.status)) {
            break;
        }
        await wait(Math.min(1_000, Number(result.headers["retry-after"] ?? 0) * 1_000));
    }
    return results;
}

async function run(record: CaseRecord): Promise<CaseExit> {
    const store = await startStoreStandIn();
    record.onEnd(() => store.close());
    publishConfiguration(store, 1, [
        { name: "crew-book", prefix: "/book/", kind: "unsafe", service: "rota-desk", timeoutMs: 1_000, attempts: 2 },
    ]);
    const runs: Run[] = [];
    for (let index = 0; index < runners; index++) {
        const id = `i-desk-${index}`;
        const zone = zones[index % zones.length]!;
        const address = await startRunner(id, index === 0 && !isCalm, runs, record);
        registerRunner(store, { id, address, service: "rota-desk", zone, state: "ready", born: Date.now(), seq: 1 });
    }
    const gateway = await startGatewayProcess({ name: "front-larisa-1", storeAddress: store.address, zones });
    record.onEnd(() => gateway.dispose());

    const pending: Promise<readonly CustomerResult[]>[] = [];
    for (let number = 1; number <= bookings; number++) {
        pending.push(book(gateway.port, `booking-${number}`, record));
        await wait(pauseMs);
    }
    const results = (await Promise.all(pending)).flat();
    const answered = results.filter(result => result.status === 200).length;
    const ranIds = new Set(runs.map(item => item.requestId));
    const broken = results.filter(result => promisingStatuses.has(result.status) && ranIds.has(result.id));
    const doubled = [...new Set(runs.map(item => item.booking))]
        .filter(booking => runs.filter(item => item.booking === booking).length > 1);
    record.add(`${results.length} requests, ${answered} answered 200, ${runs.length} runs`);
    record.add(`REFUSED: ${broken.length} requests ran and were answered with a status that promises they did not`);
    record.add(`${doubled.length} bookings ran twice, because their consumers believed the promise`);
    if (answered < bookings / 2) {
        return CaseExit.NotRun;
    }
    return broken.length > 0 ? CaseExit.Broken : CaseExit.Held;
}

void runCase("review/6", run);
