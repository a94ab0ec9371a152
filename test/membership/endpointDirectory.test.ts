import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
    createEndpointDirectory,
    defaultDirectorySettings,
    EndpointChange,
    EndpointDirectory,
} from "../../src/membership/endpointDirectory.js";
import { EndpointRecord, EndpointState } from "../../src/ports/endpointRecord.js";

const settings = { ...defaultDirectorySettings, lapseGraceMs: 2_000, departedGraceMs: 5_000 };

function makeRecord(changes: Partial<EndpointRecord> = {}): EndpointRecord {
    return {
        id: "engine-1",
        startedAtMs: 100,
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
        name: "a removal while the store is reachable removes the endpoint at once",
        steps: [d => d.applyRecord(makeRecord(), 0), d => d.applyRemoval("engine-1", 10)],
        changes: ["joined", "left"],
        isUsable: false,
    },
    {
        name: "an endpoint whose registration expires while the store is unreachable stays usable",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreUnreachable(),
            d => d.applyRemoval("engine-1", 5_000),
            d => d.expireLapses(60_000),
        ],
        changes: ["joined", "lapsed"],
        isUsable: true,
    },
    {
        name: "an endpoint that is still missing two seconds after the store's return is removed",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreUnreachable(),
            d => d.markStoreReachable(5_000),
            d => d.applyAll([], 5_010),
            d => d.expireLapses(6_990),
            d => d.expireLapses(7_010),
        ],
        changes: ["joined", "lapsed", "left"],
        isUsable: false,
    },
    {
        name: "an endpoint that registers again within two seconds stays usable",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreUnreachable(),
            d => d.markStoreReachable(5_000),
            d => d.applyRemoval("engine-1", 5_010),
            d => d.applyRecord(makeRecord(), 6_500),
            d => d.expireLapses(7_010),
        ],
        changes: ["joined", "lapsed"],
        isUsable: true,
    },
    {
        name: "a removal later than two seconds after the store's return removes the endpoint at once",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreUnreachable(),
            d => d.markStoreReachable(5_000),
            d => d.applyRemoval("engine-1", 7_100),
        ],
        changes: ["joined", "left"],
        isUsable: false,
    },
    {
        name: "a draining endpoint stays unusable while the store is unreachable",
        steps: [d => d.applyRecord(makeRecord(), 0), d => d.applyRecord(draining, 10), d => d.markStoreUnreachable()],
        changes: ["joined", "draining"],
        isUsable: false,
    },
    {
        name: "a record of the same incarnation does not revert draining",
        steps: [d => d.applyRecord(draining, 0), d => d.applyRecord(makeRecord(), 10)],
        changes: ["joined", "draining"],
        isUsable: false,
    },
    {
        name: "a new incarnation of a draining endpoint is ready",
        steps: [d => d.applyRecord(draining, 0), d => d.applyRecord(makeRecord({ startedAtMs: 200 }), 10)],
        changes: ["joined", "draining", "restarted"],
        isUsable: true,
    },
    {
        name: "a delayed record of an earlier incarnation is ignored",
        steps: [
            d => d.applyRecord(makeRecord({ startedAtMs: 200 }), 0),
            d => d.applyRecord(makeRecord({ startedAtMs: 100, state: EndpointState.Draining }), 10),
        ],
        changes: ["joined"],
        isUsable: true,
    },
    {
        name: "a draining endpoint whose registration disappears while the store is unreachable is removed",
        steps: [d => d.applyRecord(draining, 0), d => d.markStoreUnreachable(), d => d.applyRemoval("engine-1", 10)],
        changes: ["joined", "draining", "left"],
        isUsable: false,
    },
];

const departed: DirectoryCase["steps"] = [
    d => d.applyRecord(makeRecord({ renewal: 3 }), 0),
    d => d.applyRemoval("engine-1", 5_000),
    d => d.markStoreRestored(10_000),
];

const restoredCases: readonly DirectoryCase[] = [
    {
        name: "an endpoint that the copy lacks stays usable and is kept when it registers again",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreRestored(10_000),
            d => d.applyAll([], 10_000),
            d => d.applyRecord(makeRecord({ renewal: 9 }), 11_500),
            d => d.expireLapses(60_000),
        ],
        changes: ["joined", "lapsed"],
        isUsable: true,
    },
    {
        name: "an endpoint that has not registered again within two seconds is removed",
        steps: [
            d => d.applyRecord(makeRecord(), 0),
            d => d.markStoreRestored(10_000),
            d => d.applyAll([], 10_000),
            d => d.expireLapses(12_010),
        ],
        changes: ["joined", "lapsed", "left"],
        isUsable: false,
    },
    {
        name: "an endpoint that had left is not used because the copy still has it, and is forgotten when that lapses",
        steps: [
            ...departed,
            d => d.applyAll([makeRecord({ renewal: 2 })], 10_000),
            d => d.applyRemoval("engine-1", 13_600),
            d => d.expireLapses(60_000),
        ],
        changes: ["joined", "left", "doubtful"],
        isUsable: false,
    },
    {
        name: "an endpoint that had left is used again as soon as it renews its registration",
        steps: [...departed, d => d.applyAll([makeRecord({ renewal: 4 })], 10_000)],
        changes: ["joined", "left", "joined"],
        isUsable: true,
    },
    {
        name: "an endpoint that had left is used again once its registration has not lapsed for five seconds",
        steps: [
            ...departed,
            d => d.applyAll([makeRecord({ renewal: 2 })], 10_000),
            d => d.expireLapses(14_900),
            d => d.expireLapses(15_000),
        ],
        changes: ["joined", "left", "doubtful", "joined"],
        isUsable: true,
    },
    {
        name: "an endpoint that had left is used again after a restart under its id",
        steps: [...departed, d => d.applyAll([makeRecord({ startedAtMs: 200, renewal: 0 })], 10_000)],
        changes: ["joined", "left", "joined"],
        isUsable: true,
    },
    {
        name: "an endpoint that had announced that it leaves is never used again in that incarnation",
        steps: [
            d => d.applyRecord(draining, 0),
            d => d.applyRemoval("engine-1", 5_000),
            d => d.markStoreRestored(10_000),
            d => d.applyAll([makeRecord({ renewal: 50 })], 10_000),
            d => d.expireLapses(60_000),
        ],
        changes: ["joined", "draining", "left", "doubtful"],
        isUsable: false,
    },
    {
        name: "an endpoint that has announced that it leaves does not count as ready because the copy says so",
        steps: [d => d.applyRecord(draining, 0), d => d.markStoreRestored(10), d => d.applyAll([makeRecord()], 10)],
        changes: ["joined", "draining"],
        isUsable: false,
    },
];

function checkCases(directoryCases: readonly DirectoryCase[]): void {
    for (const { name, steps, changes, isUsable } of directoryCases) {
        test(name, () => {
            const directory = createEndpointDirectory(settings);
            const seen = steps.flatMap(step => (step(directory) ?? []).map(change => change.kind as string));
            assert.deepEqual(seen, changes);
            assert.equal(directory.listUsable("models").length, isUsable ? 1 : 0);
        });
    }
}

describe("endpoint directory while the store is reachable and unreachable", () => checkCases(cases));

describe("endpoint directory after the store has come back from an older copy", () => checkCases(restoredCases));
