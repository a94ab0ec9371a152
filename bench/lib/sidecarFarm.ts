// Runs many sidecars in one process, to measure how the entry's costs grow: node sidecarFarm.js SIDECARS EXTRA-HOSTS
// The process also serves the host list, to which it adds EXTRA-HOSTS hosts without a sidecar. Its engines are simulated:
// a request runs until it is cancelled and produces no token.
import * as http from "node:http";
import * as net from "node:net";
import { createEventLog } from "../../src/base/log.js";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { Verdict } from "../../src/base/verdict.js";
import { linkDefaults, sidecarDefaults } from "../../src/cli/defaults.js";
import { LinkMessageType } from "../../src/link/messages.js";
import { EngineReport } from "../../src/ports/modelEngine.js";
import { createFairScheduler } from "../../src/scheduling/fairScheduler.js";
import { createSidecar } from "../../src/sidecar/sidecar.js";
import { WorkRunner } from "../../src/sidecar/work.js";

const [sidecarCount, extraHosts] = process.argv.slice(2).map(Number) as [number, number];
const dataCentre = "here";
const linkKey = "bench";
const timers = createSystemTimerService();
const sockets = new Set<net.Socket>();
/** Bytes transferred on connections that have closed. */
let closedConnectionBytes = 0;
let polls = 0;
let pollBytes = 0;

const report: EngineReport = {
    model: "main",
    version: "main-v1",
    adapters: [],
    role: "general",
    incarnation: "farm",
    loading: undefined,
    memoryTokens: 100_000_000,
    usedTokens: 0,
    running: 0,
    waiting: 0,
    prefillTokensPerSecond: 1_000_000,
    decodeTokensPerSecond: 100,
};

const runner: WorkRunner = (work, listener) => ({
    cancel: () =>
        listener.handleEnd(
            [{ type: LinkMessageType.End, request: work.item.id, verdict: Verdict.MayHaveRun, tokens: 0 }],
            0,
        ),
});

async function listen(server: net.Server): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as net.AddressInfo).port;
}

const hosts: unknown[] = [];
for (let index = 1; index <= sidecarCount; index++) {
    const endpoint = `engine-${index}`;
    const sidecar = createSidecar({ ...linkDefaults, ...sidecarDefaults, endpoint, dataCentre, linkKey }, {
        timers,
        log: createEventLog("farm"),
        runner,
        createScheduler: createFairScheduler,
        readReport: () => Promise.resolve(report),
    });
    const port = await listen(net.createServer(socket => {
        sockets.add(socket);
        socket.on("close", () => {
            sockets.delete(socket);
            closedConnectionBytes += socket.bytesRead + socket.bytesWritten;
        });
        sidecar.accept(socket);
    }));
    hosts.push({ name: `host-${endpoint}`, dataCentre, address: "127.0.0.1", port, state: "live" });
}
for (let index = 0; index < extraHosts; index++) {
    hosts.push({ name: `host-extra-${index}`, dataCentre, address: "10.0.0.1", port: 7000, state: "live" });
}

const hostList = JSON.stringify(hosts);
const server = http.createServer((request, response) => {
    response.setHeader("content-type", "application/json");
    if (request.url === "/stats") {
        const linkBytes = [...sockets].reduce(
            (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
            closedConnectionBytes,
        );
        response.end(JSON.stringify({ linkBytes, links: sockets.size, polls, pollBytes }));
        return;
    }
    polls++;
    pollBytes += hostList.length;
    response.end(hostList);
});
process.stdout.write(`listening on http://127.0.0.1:${await listen(server)}\n`);
process.on("SIGTERM", () => process.exit(0));
