import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ColdSource, createColdEndpoints } from "../../src/membership/coldEndpoints.js";
import { EndpointRecord, EndpointState } from "../../src/ports/endpointRecord.js";

const coldStartMs = 20_000;
const wallNowMs = 1_700_000_000_000;

function makeRecord(changes: Partial<EndpointRecord>): EndpointRecord {
    return {
        id: "e",
        startedAtMs: wallNowMs - 60_000,
        renewal: 1,
        service: "desk",
        address: "10.0.0.1:80",
        dataCentre: "a",
        slots: 8,
        state: EndpointState.Ready,
        ...changes,
    };
}

describe("cold endpoints", () => {
    test("a registration that is read again unchanged does not make the endpoint cold for longer", () => {
        const cold = createColdEndpoints();
        cold.observeRegistration(makeRecord({ coldLeftMs: 5_000 }), 0, wallNowMs);
        cold.observeRegistration(makeRecord({ coldLeftMs: 5_000 }), 4_000, wallNowMs + 4_000);
        assert.equal(cold.findCold("e", coldStartMs, 4_900)?.untilMs, 5_000);
        assert.equal(cold.findCold("e", coldStartMs, 5_000), undefined);
        cold.observeRegistration(makeRecord({ coldLeftMs: 5_000, renewal: 2 }), 6_000, wallNowMs + 6_000);
        assert.equal(cold.findCold("e", coldStartMs, 6_000)?.untilMs, 11_000, "a renewal states it anew");
    });

    test("an endpoint is cold for the rest of a start time that its registration does not name, and not if it names 0", () => {
        const cold = createColdEndpoints();
        cold.observeRegistration(makeRecord({ startedAtMs: wallNowMs - 5_000 }), 0, wallNowMs);
        assert.equal(cold.findCold("e", coldStartMs, 0)?.untilMs, 15_000);
        cold.observeRegistration(makeRecord({ startedAtMs: wallNowMs - 4_000, coldLeftMs: 0 }), 0, wallNowMs);
        assert.equal(cold.findCold("e", coldStartMs, 0), undefined);
        cold.observeRegistration(makeRecord({ startedAtMs: wallNowMs - 5_000, coldLeftMs: 9_000 }), 0, wallNowMs);
        assert.equal(cold.findCold("e", coldStartMs, 0), undefined, "an earlier incarnation");
    });

    test("a registration written before an answer does not undo what the answer says", () => {
        const cold = createColdEndpoints();
        cold.observeRegistration(makeRecord({ coldLeftMs: 3_000 }), 0, wallNowMs);
        cold.apply({ endpoint: "e", source: ColdSource.Answer, observedAtMs: 2_000, untilMs: 12_000 });
        cold.observeRegistration(makeRecord({ coldLeftMs: 0, renewal: 2 }), 3_000, wallNowMs + 3_000);
        assert.equal(cold.findCold("e", coldStartMs, 3_000)?.untilMs, 12_000);
    });

    test("the newest statement holds, and the unchanged 0 of later renewals does not end what the end of an evacuation began", () => {
        const cold = createColdEndpoints();
        cold.observeRegistration(makeRecord({ coldLeftMs: 0 }), 0, wallNowMs);
        cold.apply({ endpoint: "e", source: ColdSource.Operator, observedAtMs: 5_000, untilMs: 25_000 });
        cold.observeRegistration(makeRecord({ coldLeftMs: 0, renewal: 9 }), 8_000, wallNowMs + 8_000);
        assert.ok(cold.findCold("e", coldStartMs, 8_000));
        assert.ok(!cold.apply({ endpoint: "e", source: ColdSource.Gateway, observedAtMs: 4_000, untilMs: 4_000 }));
        assert.ok(cold.apply({ endpoint: "e", source: ColdSource.Answer, observedAtMs: 9_000, untilMs: 9_000 }));
        assert.equal(cold.findCold("e", coldStartMs, 9_000), undefined);
    });
});
