import assert from "node:assert/strict";
import { test } from "node:test";
import {
    AnyClaimRecord,
    ClaimRecordKind,
    ClaimStatus,
    computePartition,
    createClaimFold,
    decideSend,
    defaultClaimFoldSettings,
    OutcomeResult,
    SendDecisionKind,
} from "../../src/idempotency/index.js";

const settings = { ...defaultClaimFoldSettings, windowMs: 1_000, maxKeyAheadMs: 0, maxBodyBytes: 10 };
const keyTimeMs = 1_700_000_000_000;
const key = `${keyTimeMs.toString(16).padStart(12, "0").replace(/^(.{8})/, "$1-")}-7000-8000-000000000001`;
const customer = "kiosk";

function claim(id: string, holder: string): AnyClaimRecord {
    return {
        kind: ClaimRecordKind.Claim,
        id,
        key,
        customer,
        fingerprint: "f",
        holder,
        limitMs: 100,
        partitions: 1,
    };
}

function release(of: string, holder: string): AnyClaimRecord {
    return { kind: ClaimRecordKind.Release, id: `release-${of}`, claim: of, holder };
}

function outcome(of: string, holder: string, body?: string): AnyClaimRecord {
    const result = OutcomeResult.Ran;
    return {
        kind: ClaimRecordKind.Outcome,
        id: `outcome-${of}`,
        claim: of,
        holder,
        result,
        status: 200,
        headers: {},
        body,
    };
}

const mark: AnyClaimRecord = { kind: ClaimRecordKind.Mark, id: "mark", partitions: 1 };

/** Creates a fold of a mark older than the key, followed by the given records with a time `atMs` after the key. */
function fold(records: readonly unknown[], atMs = 10) {
    const subject = createClaimFold(settings);
    const all = [mark, ...records].map((value, offset) => ({
        offset,
        timeMs: keyTimeMs + (offset === 0 ? -10 : atMs),
        value,
    }));
    subject.applyPage({ records: all, firstOffset: 0, endOffset: all.length });
    return subject;
}

const statuses: Record<
    string,
    { records: readonly unknown[]; atMs?: number; expected: Record<string, ClaimStatus> }
> = {
    "the first claim in log order owns the key": {
        records: [claim("a", "A"), claim("b", "B")],
        expected: { a: ClaimStatus.First, b: ClaimStatus.Void, c: ClaimStatus.Unseen },
    },
    "a claim that came second stays void after the release of the first, since its holder may have acted on being void":
        {
            records: [claim("a", "A"), claim("b", "B"), release("a", "A"), claim("b", "B")],
            expected: { a: ClaimStatus.Void, b: ClaimStatus.Void },
        },
    "a claim after the release of the first owns the key": {
        records: [claim("a", "A"), release("a", "A"), claim("b", "B")],
        expected: { a: ClaimStatus.Void, b: ClaimStatus.First },
    },
    "a delayed claim that arrives after its own release is void": {
        records: [release("a", "A"), claim("a", "A"), claim("b", "B")],
        expected: { a: ClaimStatus.Void, b: ClaimStatus.First },
    },
    "a duplicate of a released claim does not restore it": {
        records: [claim("a", "A"), release("a", "A"), claim("a", "A")],
        expected: { a: ClaimStatus.Void },
    },
    "a release by another process does not free the key": {
        records: [claim("a", "A"), release("a", "B")],
        expected: { a: ClaimStatus.First },
    },
    "a release by another process before the claim does not void it": {
        records: [release("a", "B"), claim("a", "A")],
        expected: { a: ClaimStatus.First },
    },
    "a claim with a recorded outcome cannot be released": {
        records: [claim("a", "A"), outcome("a", "A"), release("a", "A")],
        expected: { a: ClaimStatus.First },
    },
    "a claim that arrives after its key's window is void": {
        records: [claim("a", "A")],
        atMs: settings.windowMs + 1,
        expected: { a: ClaimStatus.Void },
    },
    "values that are not claim records are skipped": {
        records: [null, 7, { kind: "claim" }, { id: "a" }, claim("a", "A")],
        expected: { a: ClaimStatus.First },
    },
};

for (const [name, { records, atMs, expected }] of Object.entries(statuses)) {
    test(`claim fold: ${name}`, () => {
        const subject = fold(records, atMs);
        for (const [id, status] of Object.entries(expected)) {
            assert.equal(subject.getStatus(id), status, id);
        }
    });
}

test("claim fold: an outcome by another process is not replayed", () => {
    assert.equal(fold([claim("a", "A"), outcome("a", "B")]).find(customer, key)?.outcome, undefined);
});

test("claim fold: the total size of recorded bodies is limited, and the oldest body is dropped first", () => {
    const subject = fold([claim("a", "A"), outcome("a", "A", "12345678")]);
    const other = claim("b", "B") as Extract<AnyClaimRecord, { kind: ClaimRecordKind.Claim }>;
    const records = [{ ...other, customer: "other" }, outcome("b", "B", "12345678")]
        .map((value, index) => ({ offset: 3 + index, timeMs: keyTimeMs + 20, value }));
    subject.applyPage({ records, firstOffset: 0, endOffset: 5 });
    assert.equal(subject.find(customer, key)?.outcome?.body, undefined);
    assert.equal(subject.find(customer, key)?.outcome?.status, 200);
    assert.equal(subject.find("other", key)?.outcome?.body, "12345678");
});

test("claim fold: a claim does not run if the log lost records before the claim was read", () => {
    const subject = fold([]);
    const records = [{ offset: 5, timeMs: keyTimeMs + 20, value: claim("a", "A") }];
    subject.applyPage({ records, firstOffset: 5, endOffset: 6 });
    const send = { customer, key, fingerprint: "f", claim: "a" };
    assert.equal(decideSend(send, subject, settings, keyTimeMs + 30).kind, SendDecisionKind.Refuse);
    assert.equal(decideSend(send, fold([claim("a", "A")]), settings, keyTimeMs + 30).kind, SendDecisionKind.Run);
});

test("claim fold: a send whose claim came second does not run on that claim and claims again once the key is free", () => {
    const send = { customer, key, fingerprint: "f", claim: "b" };
    const records = [claim("a", "A"), claim("b", "B")];
    assert.equal(decideSend(send, fold(records), settings, keyTimeMs + 30).kind, SendDecisionKind.InProgress);
    const freed = fold([...records, release("a", "A")]);
    assert.equal(decideSend(send, freed, settings, keyTimeMs + 30).kind, SendDecisionKind.Claim);
});

test("claim fold: a key that was forgotten stays expired when the clock is set back", () => {
    const subject = fold([claim("a", "A"), outcome("a", "A")]);
    const send = { customer, key, fingerprint: "f", claim: undefined };
    assert.equal(decideSend(send, subject, settings, keyTimeMs + 30).kind, SendDecisionKind.Replay);
    assert.equal(decideSend(send, subject, settings, keyTimeMs + 2_000).kind, SendDecisionKind.Refuse);
    assert.equal(subject.countKeys(), 0);
    assert.equal(decideSend(send, subject, settings, keyTimeMs + 30).kind, SendDecisionKind.Refuse);
});

test("keys are spread evenly over the partitions, and the case of a key does not change its partition", () => {
    const counts = Array<number>(8).fill(0);
    for (let index = 0; index < 8_000; index++) {
        counts[computePartition(`customer-${index % 13}`, `${key}${index}`, counts.length)]!++;
    }
    assert.ok(counts.every(count => count > 800 && count < 1_200), counts.join(" "));
    assert.equal(computePartition(customer, key, 8), computePartition(customer, key.toUpperCase(), 8));
});
