import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { createPeerNotices, NoticeSender } from "../../src/gateway/peerNotices.js";

function makeNames(count: number): string[] {
    return [...Array(count).keys()].map(index => `n${index}`);
}

function createSide(address: string) {
    const sent: Buffer[] = [];
    const received: { readonly notices: readonly string[]; readonly sender: NoticeSender }[] = [];
    const logged: LogEvent[] = [];
    const current: string[] = [];
    const notices = createPeerNotices({
        host: `host of ${address}`,
        address,
        incarnation: "1",
        log: event => void logged.push(event),
        send: bytes => sent.push(bytes),
    });
    const publisher = notices.register<string>({
        name: "names",
        isForAllCells: true,
        isValid: (value): value is string => typeof value === "string",
        onReceived: (values, sender) => received.push({ notices: values, sender }),
        listCurrent: () => current,
    });
    return { sent, received, logged, current, notices, publisher };
}

describe("notices between gateways", () => {
    test("reach the topic of the same name; more than one message has are sent in several", () => {
        const [left, right] = [createSide("10.0.0.1:7"), createSide("10.0.0.2:7")];
        left.publisher.publish(makeNames(50));
        assert.ok(left.sent.every(bytes => right.notices.receive(bytes, "10.0.0.1:7")));
        assert.deepEqual(right.received.map(item => item.notices.length), [40, 10]);
        assert.equal(right.received[0]!.sender.address, "10.0.0.1:7");
    });

    test("a repeat has the next ones of a long list, so that none is left out", () => {
        const side = createSide("10.0.0.1:7");
        side.current.push(...makeNames(60));
        const other = createSide("10.0.0.2:7");
        side.notices.repeat();
        side.notices.repeat();
        side.sent.forEach(bytes => other.notices.receive(bytes, "10.0.0.1:7"));
        assert.equal(new Set(other.received.flatMap(item => item.notices)).size, 60);
    });

    test("from an address other than the one they name, or malformed, change nothing and are logged once", () => {
        const [left, right] = [createSide("10.0.0.1:7"), createSide("10.0.0.2:7")];
        left.publisher.publish(["n"]);
        assert.ok(right.notices.receive(left.sent[0]!, "10.0.0.9:7"));
        left.publisher.publish([7 as unknown as string]);
        right.notices.receive(left.sent[1]!, "10.0.0.1:7");
        right.notices.receive(left.sent[1]!, "10.0.0.1:7");
        assert.deepEqual(right.received, []);
        assert.deepEqual(right.logged, [LogEvent.PeerNoticeMalformed]);
        assert.equal(right.notices.receive(Buffer.from([0x87, 1]), "10.0.0.1:7"), false);
    });
});
