import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { describe, test } from "node:test";
import { fileURLToPath } from "node:url";
import { decodeHedgeShares } from "../../platform/settings.js";
import { LogEvent } from "../../src/base/logEvents.js";
import {
    isReady,
    makeConfiguration,
    makeHeaders,
    makeModelHeaders,
    send,
    startDeployment,
    startTestGateway,
    TestDeployment,
    TestGateway,
    waitUntil,
} from "./support/deployment.js";
import { CrashKind, CrashPlan, EndpointFault, EndpointStandIn, renderEvent } from "./support/endpointStandIn.js";

const warmUpRequests = 40;
/** Time in which the stand-in does not answer under `EndpointFault.Slow` is 500 ms; hedges are sent long before. */
const crashDelayMs = 200;

interface Setup {
    readonly deployment: TestDeployment;
    readonly gateway: TestGateway;
    /** The endpoint that gets a request first while nothing runs, and the others. */
    readonly first: EndpointStandIn;
    readonly others: readonly EndpointStandIn[];
}

function sendLook(gateway: TestGateway, path = "/look/1") {
    return send(gateway, { path, headers: makeHeaders() });
}

function sendDraft(gateway: TestGateway) {
    return send(gateway, { method: "POST", path: "/draft/1", headers: makeModelHeaders(), body: "prompt" });
}

/** Runs a test after the gateway has observed enough requests to plain services and engines. */
async function runWithHedging(
    shares: ReadonlyMap<string, number>,
    run: (setup: Setup) => Promise<void>,
    crashPlan?: CrashPlan,
    isModel = false,
): Promise<void> {
    const deployment = await startDeployment({ engines: 3, services: 3, gateways: 0, serviceCrashPlan: crashPlan });
    let started: TestGateway | undefined;
    try {
        const gateway = await startTestGateway("hedging", deployment.store.address, 1_000, { hedgeShares: shares });
        started = gateway;
        await waitUntil("ready", () => isReady(gateway));
        for (let index = 0; index < warmUpRequests; index++) {
            assert.equal((await (isModel ? sendDraft(gateway) : sendLook(gateway))).status, 200);
        }
        const endpoints = [...(isModel ? deployment.engines : deployment.services)]
            .sort((left, right) => right.requests.length - left.requests.length);
        await run({ deployment, gateway, first: endpoints[0]!, others: endpoints.slice(1) });
    }
    finally {
        await Promise.all([...deployment.engines, ...deployment.services].map(endpoint => endpoint.close()));
        await started?.drain();
        await deployment.close();
    }
}

const full = new Map([["desk", 1], ["models", 1]]);

function findEnd(gateway: TestGateway) {
    return gateway.lines.filter(line => line.event === LogEvent.RequestEnded).at(-1)!.fields;
}

function countAll(endpoints: readonly EndpointStandIn[]): number {
    return endpoints.reduce((sum, endpoint) => sum + endpoint.requests.length, 0);
}

async function measureP99(setup: Setup): Promise<number> {
    const times: number[] = [];
    setup.first.setFaults(
        ...Array.from({ length: 120 }, (unused, index) => index % 30 === 0 ? EndpointFault.Slow : EndpointFault.None),
    );
    for (let index = 0; index < 100; index++) {
        const startMs = performance.now();
        assert.equal((await sendLook(setup.gateway)).status, 200);
        times.push(performance.now() - startMs);
    }
    return times.sort((left, right) => left - right)[98]!;
}

function makeCrashPlan(): CrashPlan & { isArmed: boolean } {
    const plan = {
        kind: CrashKind.Reset,
        delayMs: crashDelayMs,
        restartDelayMs: 5_000,
        isArmed: false,
        isCrashing() {
            const { isArmed } = plan;
            plan.isArmed = false;
            return isArmed;
        },
    };
    return plan;
}

describe("hedged requests", { concurrency: 3 }, () => {
    /** Guards against a cut answer of the hedge that counts as whole and ends the first attempt. */
    test("a hedge whose endpoint ends within its answer without a length leaves the request to the first attempt", () =>
        runWithHedging(full, async ({ gateway, first, others }) => {
            first.setFaults(EndpointFault.Slow);
            others.forEach(other => other.setFaults(EndpointFault.UnframedCrash));
            const answer = await sendLook(gateway);
            assert.equal(answer.body, `done by ${first.id}`);
            assert.equal(findEnd(gateway).hedge, "failed");
            assert.equal(gateway.lines.filter(line => line.event === LogEvent.AnswerEndingChecked).length, 1);
        }));

    test("an endpoint that is slow now and then: p99 is a third lower with hedges than without", async context => {
        let without = 0;
        await runWithHedging(new Map(), async setup => {
            without = await measureP99(setup);
            assert.equal(setup.gateway.lines.some(line => line.event === LogEvent.HedgeWithheld), false);
        });
        await runWithHedging(full, async setup => {
            const hedged = await measureP99(setup);
            context.diagnostic(`p99 ${without.toFixed(0)} ms, hedged ${hedged.toFixed(0)} ms`);
            assert.ok(without > 450);
            assert.ok(hedged < without * 2 / 3, `p99 ${without} ms without and ${hedged} ms with hedges`);
            await waitUntil("losers cancelled", () => setup.first.requests.some(request => request.isCancelled));
        });
    });

    test("both would answer: the customer gets one answer, and the loser is cancelled", () =>
        runWithHedging(full, async ({ gateway, first, others }) => {
            const before = countAll([first, ...others]);
            [first, ...others].forEach(endpoint => endpoint.setFaults(EndpointFault.Slow));
            const answer = await sendLook(gateway);
            assert.deepEqual([answer.status, answer.body], [200, `done by ${first.id}`]);
            assert.equal(countAll([first, ...others]) - before, 2);
            assert.deepEqual([findEnd(gateway).hedge, findEnd(gateway).attempts], ["lost", 2]);
            await waitUntil("cancelled", () => others.some(endpoint => endpoint.requests.at(-1)?.isCancelled));
        }));

    test("a stream whose first engine is silent begins at the second, and its events come once", () =>
        runWithHedging(
            full,
            async ({ gateway, first }) => {
                first.setFaults(EndpointFault.Silent);
                const answer = await sendDraft(gateway);
                assert.equal(answer.body, [0, 1, 2, 3, 4, 5].map(renderEvent).join(""));
                assert.deepEqual([findEnd(gateway).hedge, findEnd(gateway).attempts], ["won", 2]);
                await waitUntil("cancelled", () => first.requests.at(-1)!.isCancelled);
            },
            undefined,
            true,
        ));

    test("the first connection breaks after the second was sent: the second one answers, without a third", async () => {
        const plan = makeCrashPlan();
        await runWithHedging(full, async ({ gateway, first, others }) => {
            const before = countAll([first, ...others]);
            others.forEach(endpoint => endpoint.setFaults(EndpointFault.Slow));
            plan.isArmed = true;
            const answer = await sendLook(gateway);
            assert.equal(answer.status, 200);
            assert.equal(countAll([first, ...others]) - before, 2);
            assert.equal(findEnd(gateway).hedge, "first-failed");
        }, plan);
    });

    test("both fail: the request fails once, and no third endpoint gets it", async () => {
        const plan = makeCrashPlan();
        await runWithHedging(full, async ({ gateway, first, others }) => {
            const before = countAll([first, ...others]);
            others.forEach(endpoint => endpoint.setFaults(EndpointFault.Error));
            plan.isArmed = true;
            const answer = await sendLook(gateway);
            assert.equal(answer.status, 502);
            assert.equal(countAll([first, ...others]) - before, 2);
            assert.deepEqual([findEnd(gateway).hedge, findEnd(gateway).verdict], ["failed", "may-have-run"]);
        }, plan);
    });

    test("an unsafe request and a route with one attempt are never sent twice", () =>
        runWithHedging(full, async ({ gateway, first, others }) => {
            for (const path of ["/book/1", "/open/1"]) {
                for (let index = 0; index < warmUpRequests; index++) {
                    await sendLook(gateway, path);
                }
                const before = countAll([first, ...others]);
                first.setFaults(EndpointFault.Slow);
                assert.equal((await sendLook(gateway, path)).status, 200);
                assert.equal(countAll([first, ...others]) - before, 1);
            }
        }));

    test("a service that the configuration does not have is logged once", () =>
        runWithHedging(new Map([["desc", 0.1], ["*", 0.1]]), async ({ deployment, gateway }) => {
            deployment.publish(makeConfiguration(2));
            await waitUntil(
                "version 2",
                () =>
                    gateway.lines.some(({ event, fields }) =>
                        event === LogEvent.ServingConfigurationInForce && fields.version === 2
                    ),
            );
            const unknown = gateway.lines.filter(line => line.event === LogEvent.HedgeServiceUnknown);
            assert.deepEqual(unknown.map(line => line.fields), [{ service: "desc", share: 0.1 }]);
        }));
});

describe("shares of hedged requests", () => {
    test("services and shares are decoded, and no text means no hedging", () => {
        assert.deepEqual([...decodeHedgeShares("desk=0.05, *=1")], [["desk", 0.05], ["*", 1]]);
        assert.equal(decodeHedgeShares(undefined).size, 0);
        assert.equal(decodeHedgeShares("").size, 0);
    });

    const wrong: readonly [string, RegExp][] = [
        ["desk=-0.1", /JUJUBELANE_HEDGING.*"-0\.1".*"desk".*0 to 1/],
        ["desk=1.1", /"1\.1"/],
        ["desk=NaN", /"NaN"/],
        ["desk=0x1", /"0x1"/],
        ["desk", /"desk" is not of the form SERVICE=SHARE/],
        ["=0.1", /form/],
        ["desk=0.1=0.2", /form/],
        ["desk=0.1,", /form/],
        ["desk=0.1,desk=0.2", /"desk" is named twice/],
        ["*=0.1,*=0.1", /named twice/],
    ];
    for (const [text, expected] of wrong) {
        test(`"${text}" is refused`, () => assert.throws(() => decodeHedgeShares(text), expected));
    }

    test("a wrong value ends the process at the start with status 2 and names the problem", () => {
        const main = fileURLToPath(new URL("../../platform/main.js", import.meta.url));
        const env = { ...process.env, JUJUBELANE_CONFIG: "settings.yaml", JUJUBELANE_HEDGING: "desk=2" };
        const { status, stderr } = spawnSync(process.execPath, [main], { env, encoding: "utf8" });
        assert.equal(status, 2);
        assert.match(stderr, /JUJUBELANE_HEDGING: share "2" of service "desk"/);
    });
});
