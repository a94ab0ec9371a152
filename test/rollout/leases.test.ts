import assert from "node:assert/strict";
import { test } from "node:test";
import { computeBackoff } from "../../src/rollout/backoff.js";
import { createLeaseState, foldLease, LeaseRecordType } from "../../src/rollout/leases.js";

const resource = "load/demo";
const durationMs = 100;
let nextId = 0;

function acquire(holder: string, id = `record-${nextId++}`) {
    return { id, type: LeaseRecordType.Acquire, resource, holder, durationMs, capacity: 1 };
}

function renew(holder: string, token: number) {
    return { id: `record-${nextId++}`, type: LeaseRecordType.Renew, resource, holder, durationMs, token };
}

function release(holder: string, token: number) {
    return { id: `record-${nextId++}`, type: LeaseRecordType.Release, resource, holder, token };
}

/**
 * Name, records and expected leases. A record is a pair of time and value, and its index is its offset. An expected
 * lease is `holder@token`, in brackets while it waits.
 */
const cases: readonly (readonly [string, readonly (readonly [number, unknown])[], string])[] = [
    ["the first request is granted the slot, the second waits", [[0, acquire("a")], [1, acquire("b")]], "a@0 (b@1)"],
    [
        "a release grants the slot to a waiting holder",
        [[0, acquire("a")], [1, acquire("b")], [2, release("a", 0)]],
        "b@1",
    ],
    ["the next record after a lease expires frees its slot", [[0, acquire("a")], [150, acquire("b")]], "b@1"],
    ["a renewal in time keeps the slot", [[0, acquire("a")], [90, renew("a", 0)], [150, acquire("b")]], "a@0 (b@2)"],
    [
        "a holder that was paused cannot renew an expired lease",
        [[0, acquire("a")], [1, acquire("b")], [150, renew("a", 0)]],
        "b@1",
    ],
    [
        "a holder that was paused cannot release the lease of another holder",
        [[0, acquire("a")], [150, acquire("b")], [160, release("a", 1)], [170, release("a", 0)]],
        "b@1",
    ],
    [
        "a duplicate of an acquire record has no effect",
        [[0, acquire("a", "copy")], [1, release("a", 0)], [2, acquire("a", "copy")]],
        "",
    ],
    ["a new process of a holder replaces the earlier one", [[0, acquire("a")], [1, acquire("a")]], "a@1"],
    [
        "the token of an earlier process has no effect",
        [[0, acquire("a")], [1, acquire("a")], [2, release("a", 0)]],
        "a@1",
    ],
    [
        "unknown and malformed records are ignored",
        [[0, { type: "crash" }], [1, undefined], [2, acquire("a")]],
        "a@2",
    ],
];

for (const [name, records, expected] of cases) {
    test(`load slots: ${name}`, () => {
        const state = records.reduce(
            (folded, [timeMs, value], offset) => foldLease(folded, { offset, timeMs, value }),
            createLeaseState(),
        );
        const actual = (state.resources.get(resource)?.leases ?? []).map(lease =>
            lease.expiresMs === undefined ? `(${lease.holder}@${lease.token})` : `${lease.holder}@${lease.token}`
        );
        assert.equal(actual.join(" "), expected);
        assert.equal(state.nextOffset, records.length);
    });
}

test("the backoff between attempts grows to its maximum and has jitter", () => {
    const settings = { baseMs: 100, maxMs: 1_000 };
    assert.deepEqual([1, 2, 3, 9].map(failures => computeBackoff(settings, failures, () => 0)), [50, 100, 200, 500]);
    assert.equal(computeBackoff(settings, 9, () => 0.5), 750);
});
