import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { test } from "node:test";
import { createGatewayProcess } from "../soak/gatewayProcess.js";
import { findFreePorts } from "../soak/soak.js";
import { makeConfiguration, waitUntil } from "./support/deployment.js";
import { startStoreStandIn } from "./support/storeStandIn.js";

const deployFile = readFileSync("deploy/system.toml", "utf8");
/** Seed of a port range that no soak run in CI uses. */
const portSeed = 499;
const [, run] = /^run = "node (.+)"$/mu.exec(deployFile)!;

test("the bundle starts with the deployed command and its code cache, with package modules replaced", async () => {
    execFileSync(process.execPath, ["scripts/bundleGateway.mjs"]);
    const store = await startStoreStandIn();
    store.put("keyed.op", "config", makeConfiguration());
    const [customers, ready, exchange, metrics] = await findFreePorts(portSeed, 4);
    const ports = { customers: customers!, ready: ready!, exchange: exchange!, metrics: metrics! };
    const gateway = await createGatewayProcess("gateway-bundle", ports, store.address, run!.split(" "));
    try {
        gateway.start();
        // The process starts to listen before it loads the bundle, which prints its first line when it is loaded.
        await waitUntil("a connection", () => canConnect(ports.customers));
        assert.equal(gateway.hasStarted(), false);
        await waitUntil("ready", () => gateway.isReady(), 20_000);
        const answer = await fetch(`${gateway.url}/unknown`);
        assert.equal(answer.status, 404);
        assert.equal(gateway.output.find(line => line.includes("no compiled code")), undefined);
        gateway.signal("SIGTERM");
        assert.equal(await gateway.waitForExit(), 0);
    }
    finally {
        await gateway.dispose();
        await store.close();
    }
});

function canConnect(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        socket.once("connect", () => {
            socket.destroy();
            resolve(true);
        });
        socket.once("error", () => resolve(false));
    });
}
