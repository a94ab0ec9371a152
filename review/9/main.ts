/* eslint-disable no-restricted-syntax -- runs on the real clock */
import { createServer, IncomingMessage, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { CaseExit, CaseRecord, isCalm, runCase } from "../support-2/caseRecord.js";
import { publishConfiguration, registerRunner } from "../support-2/configuration.js";
import { CustomerResult, sendRequest } from "../support-2/customer.js";
import { startGatewayProcess } from "../support-2/gatewayProcess.js";
import { renderPiece } from "../support-2/runnerMain.js";
import { startStoreStandIn } from "../support-2/storeStandIn.js";

/** A stopping gateway takes streams later than 3 s after SIGTERM. Their runners then get the work of others, and slow down. */

const zone = "larisa";
const service = "rota-model";
const runners = 3;
const pieces = 16;
const timeoutMs = 15_000;
/** Pauses between two events, without and with the work of others at the runner. */
const usualPauseMs = 50;
const loadedPauseMs = 400;
/** Times after SIGTERM. */
const firstLateMs = 3_200;
const loadedAtMs = 3_400;
const lateStreams = 5;

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function run(record: CaseRecord): Promise<CaseExit> {
    const store = await startStoreStandIn();
    record.onEnd(() => store.close());
    publishConfiguration(store, 1, [{
        name: "contract-digest",
        prefix: "/digest/",
        kind: "stream",
        service,
        timeoutMs,
        attempts: 2,
        isResumable: true,
        targetMs: 6_000,
        gapMs: 1_000,
    }]);
    const ran = new Set<string>();
    let eventPauseMs = usualPauseMs;

    async function handle(id: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        for await (const unused of request) {
            void unused;
        }
        const requestId = String(request.headers["x-request-id"]);
        if (request.headers["x-expect-instance"] !== id) {
            response.writeHead(421, { "X-Runner-Id": id }).end();
            return;
        }
        ran.add(requestId);
        record.add(`${id} runs ${requestId}`);
        response.writeHead(200, {
            "X-Request-Id": requestId,
            "X-Response-Seal": `seal-${id}`,
            "Content-Type": "text/event-stream",
        });
        for (let number = Number(request.headers["last-event-id"] ?? 0) + 1; number <= pieces; number++) {
            await wait(eventPauseMs);
            if (response.destroyed) {
                record.add(`${id}: the channel of ${requestId} is closed after ${number - 1} events`);
                return;
            }
            response.write(renderPiece(number, 0));
        }
        response.end();
    }

    for (let index = 1; index <= runners; index++) {
        const id = `i-model-${index}`;
        const server = createServer((request, response) => {
            handle(id, request, response).catch(() => response.destroy());
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        record.onEnd(() => {
            server.close();
            server.closeAllConnections();
        });
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        registerRunner(store, { id, address, service, zone, state: "ready", born: Date.now(), seq: 1, slots: 11 });
    }
    const gateway = await startGatewayProcess({ name: "front-larisa-1", storeAddress: store.address, zones: [zone] });
    record.onEnd(() => gateway.dispose());

    async function ask(): Promise<CustomerResult> {
        const result = await sendRequest(gateway.port, {
            method: "POST",
            path: "/digest/all",
            deadlineMs: timeoutMs,
            headers: { "X-Model": "m", "X-Token-Count": "5000,816", "X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:4960" },
            body: Buffer.from("prompt"),
        });
        const events = result.body.toString("latin1").split("\n\n").length - 1;
        record.add(
            `${result.id} got ${result.status} after ${result.tookMs} ms, ${events} of ${pieces} events, `
                + (result.isComplete ? "complete" : `not complete (${result.error})`),
        );
        return result;
    }

    // The gateway sees the usual pace.
    await Promise.all(Array.from({ length: 4 }, ask));
    gateway.signal("SIGTERM");
    record.add("the gateway got SIGTERM");
    const usual = wait(2_800).then(ask);
    await wait(firstLateMs);
    const late: Promise<CustomerResult>[] = [];
    for (let count = 0; count < lateStreams; count++) {
        record.add(`a consumer sends a stream ${firstLateMs + 30 * count} ms after SIGTERM`);
        late.push(ask());
        await wait(30);
    }
    await wait(loadedAtMs - firstLateMs - 30 * lateStreams);
    if (!isCalm) {
        eventPauseMs = loadedPauseMs;
        record.add("the runners have the work of other callers from now on");
    }
    await usual;
    const results = await Promise.all(late);
    gateway.lines.filter(line => results.some(result => line.includes(result.id)))
        .forEach(line => record.add(`gateway: ${line}`));
    const lost = results.filter(result => ran.has(result.id) && !result.isComplete);
    record.add(`LOST: ${lost.length} of ${lateStreams} streams that were sent later than 3 s after SIGTERM were cut`);
    return lost.length > 0 ? CaseExit.Broken : CaseExit.Held;
}

void runCase("review/9", run);
