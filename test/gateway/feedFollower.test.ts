import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { makeSuccess } from "../../src/base/result.js";
import { followFeed } from "../../src/gateway/feedFollower.js";
import { KeyedRecord } from "../../src/ports/recordFeed.js";

/** Guards against a record that nobody foresaw ending the only reader of the configuration for good. */
test("an unexpected error of a listener loses no later record", async () => {
    const timers = createManualTimerService();
    const applied: string[] = [];
    const batches: KeyedRecord[][] = [[{ key: "bad", value: undefined }], [{ key: "good", value: undefined }]];
    const apply = (records: readonly KeyedRecord[]) => {
        if (records.some(record => record.key === "bad")) {
            throw new Error("unexpected");
        }
        applied.push(...records.map(record => record.key));
    };
    const following = followFeed({
        name: "test",
        feed: {
            readNewest: async () => makeSuccess({ records: batches.shift() ?? [], next: { era: 1, offset: 0 } }),
            readFrom: async () => makeSuccess({ records: [], next: { era: 1, offset: 0 } }),
        },
        timing: { waitMs: 100, pauseMs: 100 },
        timers,
        log: () => undefined,
        listener: { onSnapshot: apply, onRestored() {}, onUpdate: apply, onUnavailable() {}, onAvailable() {} },
    });
    const settle = () => new Promise(resolve => setImmediate(resolve));
    for (let step = 0; step < 30; step++) {
        await settle();
        timers.advance(100);
    }
    assert.deepEqual(applied, ["good"]);
    following.dispose();
});
