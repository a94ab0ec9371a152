/* eslint-disable no-restricted-syntax -- runs on the real clock */
import { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { makeConfiguration, makeRegistration } from "../support/configuration.js";
import { ChannelEnd, openChannel, renderHead } from "../support/consumer.js";
import { startGateway } from "../support/gateway.js";
import { isTroubled, Outcome, runCase } from "../support/record.js";
import { startRunner } from "../support/runner.js";
import { startStore } from "../support/store.js";

const events = 33;
const eventIntervalMs = 50;
const consumers = 4;
/** Time from the requests to the kill, about half of the answers. */
const killDelayMs = 900;

/** Sends a stream that has no length and ends with its channel. */
function answer(request: IncomingMessage, response: ServerResponse, headers: Record<string, string>): void {
    const { socket } = request;
    response.detachSocket(socket);
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.write(`HTTP/1.1 200 OK\r\n${lines}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`);
    let sent = 0;
    const timer = setInterval(() => {
        sent += 1;
        socket.write(`id: ${sent}\ndata: piece ${sent}\n\n`);
        if (sent === events) {
            clearInterval(timer);
            socket.end();
        }
    }, eventIntervalMs);
    socket.on("error", () => undefined);
    socket.on("close", () => clearInterval(timer));
}

await runCase(4, async record => {
    const store = await startStore();
    const runner = await startRunner("i-1", (request, response, headers) => {
        record.add(`runner runs ${headers["x-request-id"]}`);
        answer(request, response, headers);
    });
    store.put("keyed.op", "config", makeConfiguration());
    store.put("keyed.servers", runner.id, makeRegistration("models", runner.address));
    const gateway = await startGateway({ name: "front-larisa-1", storeAddress: store.address });
    try {
        await gateway.waitUntilReady();
        const channels = Array.from({ length: consumers }, (unused, index) => {
            const channel = openChannel(gateway.port);
            record.add(`consumer sends r-${index}`);
            channel.send(
                renderHead("POST", `/draft/${index}`, `r-${index}`, {
                    "X-Model": "m",
                    "X-Token-Count": "5000,1700",
                    "X-Prompt-Prefix": `5c1e07a2:40,91bd3f0${index}:4960`,
                    "X-Deadline-Ms": "10000",
                    "Content-Length": "0",
                }),
            );
            return channel;
        });
        await sleep(killDelayMs);
        if (isTroubled) {
            record.add("SIGKILL to the gateway");
            gateway.signal("SIGKILL");
        }
        for (let waited = 0; waited < 10_000 && channels.some(item => item.getEnd() === ChannelEnd.Open); waited += 50) {
            await sleep(50);
        }
        const verdicts = channels.map((channel, index) => {
            const head = channel.getHead();
            const count = channel.getBody().split("id: ").length - 1;
            const isFramed = /^(content-length|transfer-encoding):/imu.test(head);
            record.add(
                `r-${index}: "${head.slice(0, 15)}", ${isFramed ? "framed" : "ends with its channel"}, `
                    + `${count} of ${events} events, channel ${channel.getEnd()}`,
            );
            channel.close();
            return head.startsWith("HTTP/1.1 200") && !isFramed && channel.getEnd() === ChannelEnd.Closed && count < events;
        });
        if (runner.arrivals.length < consumers) {
            return Outcome.CouldNotRun;
        }
        return verdicts.includes(true) ? Outcome.Broken : Outcome.Held;
    }
    finally {
        await gateway.dispose();
        runner.close();
        store.close();
    }
});
