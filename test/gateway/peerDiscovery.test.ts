import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { makeSuccess } from "../../src/base/result.js";
import { followPeers } from "../../src/gateway/peerDiscovery.js";
import { KeyedRecord } from "../../src/ports/recordFeed.js";

/** Guards against gateways that start together and divide the endpoints without each other until the next read. */
test("a gateway that registers just after the first read is known a second later", async () => {
    const timers = createManualTimerService();
    const records: KeyedRecord[] = [];
    let known: readonly string[] = [];
    const following = followPeers({
        feed: {
            readNewest: async () => makeSuccess({ records: [...records], next: { era: 1, offset: 0 } }),
            readFrom: async () => makeSuccess({ records: [], next: { era: 1, offset: 0 } }),
            write: async (key, value) => {
                records.push({ key, value });
                return makeSuccess(undefined);
            },
        },
        host: "gateway-1",
        address: "10.1.0.1:7340",
        timers,
        log: () => undefined,
        onPeers: addresses => {
            known = addresses;
        },
    });
    const settle = () => new Promise(resolve => setImmediate(resolve));
    await settle();
    assert.equal(known.length, 1);
    records.push({ key: "gateway-2", value: Buffer.from("10.1.0.2:7340 1") });
    timers.advance(1_000);
    await settle();
    assert.ok(known.includes("10.1.0.2:7340"));
    following.dispose();
});
