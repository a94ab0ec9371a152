import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ConnectResult } from "../../src/adapters/connections.js";
import { AnswerEnding, decideAnswerEnding } from "../../src/gateway/answerEnding.js";
import { sendStrictly } from "../support/strictCustomer.js";
import { makeHeaders, makeModelHeaders, startDeployment, TestDeployment, waitUntil } from "./support/deployment.js";
import { EndpointFault, EndpointStandIn, renderEvent } from "./support/endpointStandIn.js";

const completeStream = [0, 1, 2, 3, 4, 5].map(renderEvent).join("");

function countRuns(endpoints: readonly EndpointStandIn[]): number {
    return endpoints.flatMap(endpoint => endpoint.requests).filter(item => item.hasRun).length;
}

async function runWithDeployment(run: (deployment: TestDeployment) => Promise<void>): Promise<void> {
    const deployment = await startDeployment({ lapseDelayMs: 1_000 });
    try {
        await run(deployment);
    }
    finally {
        await deployment.close();
    }
}

/** Guards against an answer without a length that is taken for whole because the end of its endpoint closes it in order. */
describe("an answer without a length whose endpoint ends within it", { concurrency: 4 }, () => {
    /** Sets the fault for the first request, whichever endpoint it is sent to. */
    function setFaultOnce(endpoints: readonly EndpointStandIn[], fault: EndpointFault): void {
        endpoints.forEach(endpoint => endpoint.setFaults(fault));
    }

    function send({ gateways }: TestDeployment, method: string, path: string, headers: Record<string, string>) {
        return sendStrictly(gateways[0]!.url, { method, path, headers, body: method === "POST" ? "body" : undefined });
    }

    async function findFirst(deployment: TestDeployment, path: string, headers: Record<string, string>) {
        const endpoints = [...deployment.engines, ...deployment.services];
        await send(deployment, "POST", path, headers).answer;
        return endpoints.find(endpoint => endpoint.requests.length > 0)!;
    }

    test("is resumed at another endpoint if it is a stream that allows this", () =>
        runWithDeployment(async deployment => {
            const first = await findFirst(deployment, "/draft/1", makeModelHeaders());
            first.setFaults(EndpointFault.UnframedCrash);
            const answer = await send(deployment, "POST", "/draft/1", makeModelHeaders()).answer;
            assert.deepEqual([answer.isComplete, answer.body], [true, completeStream]);
            assert.equal(countRuns(deployment.engines), 3);
        }));

    test("looks cut if it is a stream that must not run twice", () =>
        runWithDeployment(async deployment => {
            setFaultOnce(deployment.engines, EndpointFault.UnframedCrash);
            const answer = await send(deployment, "POST", "/once/1", makeModelHeaders()).answer;
            assert.deepEqual([answer.isComplete, answer.body], [false, renderEvent(0)]);
        }));

    test("is replaced by that of another endpoint if the request is safe", () =>
        runWithDeployment(async deployment => {
            const first = await findFirst(deployment, "/look/1", makeHeaders());
            first.setFaults(EndpointFault.UnframedCrash);
            const answer = await send(deployment, "GET", "/look/1", makeHeaders()).answer;
            assert.equal(answer.status, 200);
            assert.match(answer.body, /^done by desk-\d$/u);
            assert.equal(countRuns(deployment.services), 3);
        }));

    test("becomes 502 if the request must not run twice", () =>
        runWithDeployment(async deployment => {
            setFaultOnce(deployment.services, EndpointFault.UnframedCrash);
            const answer = await send(deployment, "POST", "/book/1", makeHeaders()).answer;
            assert.equal(answer.status, 502);
            assert.equal(countRuns(deployment.services), 1);
        }));

    /** Guards against a whole stream that is broken off because its second part has another framing than its first. */
    for (const [fault, isComplete] of [[EndpointFault.Unframed, true], [EndpointFault.UnframedCrash, false]] as const) {
        test(`ends a resumed stream whose first part had chunks ${isComplete ? "as whole" : "as cut"} (${fault})`, () =>
            runWithDeployment(async deployment => {
                const first = await findFirst(deployment, "/draft/1", makeModelHeaders());
                deployment.engines.forEach(engine =>
                    engine.setFaults(engine === first ? EndpointFault.CloseWithinAnswer : fault)
                );
                const answer = await send(deployment, "POST", "/draft/1", makeModelHeaders()).answer;
                assert.equal(answer.isComplete, isComplete);
                assert.equal(answer.body === completeStream, isComplete);
                assert.ok(completeStream.startsWith(answer.body));
                assert.equal(countRuns(deployment.engines), 3);
            }));
    }

    /** Guards against the opposite error: a whole answer that is broken off because its endpoint leaves. */
    test("counts as whole if the endpoint has announced that it leaves", () =>
        runWithDeployment(async deployment => {
            setFaultOnce(deployment.engines, EndpointFault.UnframedLast);
            const sent = send(deployment, "POST", "/once/1", makeModelHeaders());
            await waitUntil("the request", () => countRuns(deployment.engines) > 0);
            deployment.engines.forEach(engine => deployment.register(engine, "models", { state: "draining" }));
            const answer = await sent.answer;
            assert.deepEqual([answer.isComplete, answer.body], [true, completeStream]);
        }));
});

describe("the ending of an answer without a length", () => {
    const cases: readonly (readonly [ConnectResult, boolean, AnswerEnding])[] = [
        [ConnectResult.Accepted, true, AnswerEnding.Confirmed],
        [ConnectResult.Accepted, false, AnswerEnding.Confirmed],
        [ConnectResult.Refused, true, AnswerEnding.ProcessGone],
        [ConnectResult.Refused, false, AnswerEnding.Leaving],
        [ConnectResult.NoAnswer, true, AnswerEnding.Unconfirmed],
        [ConnectResult.NoAnswer, false, AnswerEnding.Unconfirmed],
    ];
    for (const [connect, isStaying, expected] of cases) {
        test(`connection ${connect}, ${isStaying ? "staying" : "leaving"}: ${expected}`, () =>
            assert.equal(decideAnswerEnding({ connect, isStaying }), expected));
    }
});
