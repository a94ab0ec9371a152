import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createEndpointDirectory, EndpointChange, EndpointDirectory } from "../../src/membership/endpointDirectory.js";
import { EndpointRecord, EndpointState } from "../../src/ports/endpointRecord.js";

const settings = { lapseGraceMs: 2_000 };

function makeRecord(changes: Partial<EndpointRecord> = {}): EndpointRecord {
    return {
        id: "engine-1",
        bornMs: 100,
        service: "models",
        address: "10.0.0.1:80",
        dataCentre: "a",
        slots: 8,
        state: EndpointState.Ready,
        ...changes,
    };
}

interface DirectoryCase {
    readonly name: string;
    readonly steps: readonly ((directory: EndpointDirectory) => readonly EndpointChange[] | void)[];
    /** Changes that the steps report, in order. */
    readonly changes: readonly string[];
    readonly isUsable: boolean;
}

const draining = makeRecord({ state: EndpointState.Draining });

const cases: readonly DirectoryCase[] = [
    {
        name: "a removal while the store answers ends the endpoint at once",
        steps: [d => d.applyRecord(makeRecord(), 0), d => d.applyRemoval("engine-1", 10)],
        changes: ["joined", "left"],
        isUsable: false,
    },
    {
        name: "a registration that expires while the store is away keeps the endpoint in use",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreLost(),
            d => d.applyRemoval("engine-1", 5_000),
            d => d.expireLapses(60_000),
        ],
        changes: ["joined", "lapsed"],
        isUsable: true,
    },
    {
        name: "one that is still missing two seconds after the store's return is gone",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreLost(),
            d => d.markStoreBack(5_000),
            d => d.applyAll([], 5_010),
            d => d.expireLapses(6_990),
            d => d.expireLapses(7_010),
        ],
        changes: ["joined", "lapsed", "left"],
        isUsable: false,
    },
    {
        name: "one that is back within two seconds stays",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreLost(),
            d => d.markStoreBack(5_000),
            d => d.applyRemoval("engine-1", 5_010),
            d => d.applyRecord(makeRecord(), 6_500),
            d => d.expireLapses(7_010),
        ],
        changes: ["joined", "lapsed"],
        isUsable: true,
    },
    {
        name: "a removal later than two seconds after the return ends the endpoint at once",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreLost(),
            d => d.markStoreBack(5_000),
            d => d.applyRemoval("engine-1", 7_100),
        ],
        changes: ["joined", "left"],
        isUsable: false,
    },
    {
        name: "draining binds also while the store is away",
        steps: [d => d.applyRecord(makeRecord(), 0), d => d.applyRecord(draining, 10), d => d.markStoreLost()],
        changes: ["joined", "draining"],
        isUsable: false,
    },
    {
        name: "draining is not taken back by a record of the same life",
        steps: [d => d.applyRecord(draining, 0), d => d.applyRecord(makeRecord(), 10)],
        changes: ["joined", "draining"],
        isUsable: false,
    },
    {
        name: "another life of the same id is ready again",
        steps: [d => d.applyRecord(draining, 0), d => d.applyRecord(makeRecord({ bornMs: 200 }), 10)],
        changes: ["joined", "draining", "restarted"],
        isUsable: true,
    },
    {
        name: "a late record of an earlier life changes nothing",
        steps: [
            d => d.applyRecord(makeRecord({ bornMs: 200 }), 0),
            d => d.applyRecord(makeRecord({ bornMs: 100, state: EndpointState.Draining }), 10),
        ],
        changes: ["joined"],
        isUsable: true,
    },
    {
        name: "a draining endpoint that disappears with the store does not come back as lapsed",
        steps: [d => d.applyRecord(draining, 0), d => d.markStoreLost(), d => d.applyRemoval("engine-1", 10)],
        changes: ["joined", "draining", "left"],
        isUsable: false,
    },
];

describe("endpoints and the store's health", () => {
    for (const { name, steps, changes, isUsable } of cases) {
        test(name, () => {
            const directory = createEndpointDirectory(settings);
            const seen = steps.flatMap(step => (step(directory) ?? []).map(change => change.kind as string));
            assert.deepEqual(seen, changes);
            assert.equal(directory.listUsable("models").length, isUsable ? 1 : 0);
        });
    }
});
