import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createEvacuations, EvacuationChangeKind, restoredHoldMs } from "../../src/membership/evacuations.js";

function createWith(...dataCentres: string[]) {
    const evacuations = createEvacuations();
    evacuations.applyAll(dataCentres, 0);
    return evacuations;
}

describe("evacuations", () => {
    test("one ends with its removal and with a full read that lacks it, and not before", () => {
        const evacuations = createWith("a", "b");
        assert.deepEqual(evacuations.expire(1e9), []);
        assert.deepEqual(evacuations.applyEnd("a", 10), [
            { kind: EvacuationChangeKind.Ended, dataCentre: "a", ageMs: 10 },
        ]);
        assert.ok(evacuations.isEvacuated("b"));
        evacuations.applyAll([], 20);
        assert.ok(!evacuations.isEvacuated("b"));
        assert.deepEqual(evacuations.applyEnd("b", 30), [], "an end is reported once");
    });

    test("a restored store that lacks one does not let requests in before operators can write it again", () => {
        const evacuations = createWith("a", "b", "c");
        evacuations.markStoreRestored();
        evacuations.applyAll(["b"], 100);
        assert.ok(evacuations.isEvacuated("a"));
        evacuations.applyAll(["b"], 200);
        assert.ok(evacuations.isEvacuated("a"), "a second full read after the same return does not end it");
        assert.equal(evacuations.applyStart("a", 300)[0]!.kind, EvacuationChangeKind.Confirmed);
        assert.deepEqual(evacuations.expire(100 + restoredHoldMs - 1), []);
        assert.deepEqual(evacuations.expire(100 + restoredHoldMs).map(change => change.dataCentre), ["c"]);
        assert.ok(evacuations.isEvacuated("a") && evacuations.isEvacuated("b"));
    });

    test("an operator's removal ends one that is held, and a second return of the store extends the hold", () => {
        const evacuations = createWith("a", "b");
        evacuations.markStoreRestored();
        evacuations.applyAll([], 0);
        evacuations.applyEnd("a", 10);
        assert.ok(!evacuations.isEvacuated("a"));
        evacuations.markStoreRestored();
        evacuations.applyAll([], 4_000);
        assert.deepEqual(evacuations.expire(restoredHoldMs + 3_999), []);
        assert.equal(evacuations.expire(restoredHoldMs + 4_000).length, 1);
    });

    test("a faulty writer cannot fill the memory", () => {
        const evacuations = createEvacuations();
        const names = Array.from({ length: 2_000 }, (unused, index) => `zone-${index}`);
        const changes = evacuations.applyAll(names, 0);
        assert.equal(evacuations.count(), 1_024);
        assert.equal(changes.filter(change => change.kind === EvacuationChangeKind.Refused).length, 2_000 - 1_024);
    });
});
