import assert from "node:assert/strict";
import * as net from "node:net";
import { after, before, describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { ResultKind } from "../../src/base/result.js";
import { createFrameDecoder, encodeFrame } from "../../src/link/frame.js";
import { LinkRole, signHandshake } from "../../src/link/handshake.js";
import { ChallengeMessage, LinkMessage, LinkMessageType, linkProtocolVersion } from "../../src/link/messages.js";
import { startSystem, TestSystem } from "./system.js";

let system: TestSystem;
before(async () => {
    system = await startSystem();
});
after(() => system.close());

/** Opens a raw connection, answers the challenge and returns every message received until the sidecar closes it. */
function collectMessages(answer: (challenge: ChallengeMessage) => Buffer): Promise<LinkMessage[]> {
    return new Promise((resolve, reject) => {
        const decoder = createFrameDecoder(1_000_000);
        const received: LinkMessage[] = [];
        const socket = net.connect(system.endpoints[0]!.relay.port, "127.0.0.1");
        socket.setTimeout(3_000, () => {
            socket.destroy();
            reject(new Error("the sidecar kept the connection open"));
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
        socket.on("data", (bytes: Buffer) => {
            const result = decoder.decode(bytes);
            for (const message of result.kind === ResultKind.Success ? result.value : []) {
                received.push(message);
                if (message.type === LinkMessageType.Challenge) {
                    socket.write(answer(message));
                }
            }
        });
    });
}

function makeHello(challenge: ChallengeMessage, key: string, version = linkProtocolVersion): Buffer {
    const nonce = Buffer.alloc(16, 1);
    return encodeFrame({
        type: LinkMessageType.Hello,
        version,
        entry: "stranger",
        incarnation: "1",
        dataCentre: "larissa",
        nonce,
        proof: signHandshake(key, LinkRole.Entry, challenge.nonce, nonce),
    });
}

const cases: readonly (readonly [string, (challenge: ChallengeMessage) => Buffer, string | undefined])[] = [
    ["a wrong key", challenge => makeHello(challenge, "wrong"), "unauthorized"],
    ["no key", challenge => makeHello(challenge, ""), "unauthorized"],
    ["another protocol version", challenge => makeHello(challenge, "test-link-key", 99), "protocol_violation"],
    [
        "a request before the handshake",
        () => encodeFrame({ type: LinkMessageType.Cancel, request: "r" }),
        "protocol_violation",
    ],
    ["an oversized frame", () => Buffer.from([0x7f, 0xff, 0xff, 0xff]), undefined],
    ["a malformed frame", () => Buffer.from([0, 0, 0, 1, 0x5f]), undefined],
];

describe("a link that violates the protocol is refused and logged, and the sidecar keeps serving", () => {
    for (const [name, answer, code] of cases) {
        test(name, async () => {
            const before = system.events.filter(event => event.event === LogEvent.LinkRefused).length;
            const received = await collectMessages(answer);
            const refusal = received.find(message => message.type === LinkMessageType.Refusal);
            assert.equal(refusal?.code, code);
            assert.ok(!received.some(message => message.type === LinkMessageType.Welcome));
            const after = system.events.filter(event => event.event === LogEvent.LinkRefused).length;
            assert.equal(after, before + 1);
            const response = await system.send("/v1/completions", { model: "demo", prompt: "x", max_tokens: 1 });
            assert.equal(response.status, 200);
            await response.text();
        });
    }
});
