import { ResultKind } from "../../src/base/result.js";
import { ChangeOperation, ChangeSet, makeChangeSetRecord } from "../../src/config/changeSet.js";
import { ConfigurationObjects, ObjectType } from "../../src/config/objects.js";
import { validateObjects } from "../../src/config/validate.js";

/** Sections of a small valid configuration, as written in configuration files. */
export const sampleSections = {
    models: { demo: { version: "demo-v1" }, other: { version: "other-v1" } },
    versions: {
        "demo-v1": { model: "demo", weights: "w1" },
        "demo-v2": { model: "demo", weights: "w2" },
        "other-v1": { model: "other", weights: "w3" },
    },
    adapters: { tone: { model: "demo", weights: "a1" } },
    ranks: { urgent: { urgency: 0, timeLimitMs: 10_000 }, bulk: { urgency: 1, timeLimitMs: 60_000 } },
    kinds: { question: { rank: "urgent" } },
    customers: { planner: { keyDigests: ["a".repeat(64)], ranks: ["urgent"], defaultKind: "question" } },
    services: { bookings: { rank: "urgent", repeatable: false, timeLimitMs: 5_000 } },
    endpoints: {
        "engine-1": { host: "host-1", dataCentre: "p", model: "demo", adapters: ["tone"], checksFencing: true },
        "booking-1": { host: "host-2", dataCentre: "p", service: "bookings", checksFencing: false },
    },
};

/** The same configuration with defaults filled in. */
export function makeSampleObjects(): ConfigurationObjects {
    const result = validateObjects(sampleSections);
    if (result.kind === ResultKind.Failure) {
        throw new Error(JSON.stringify(result.error));
    }
    return result.value;
}

/** Creates a change set record that puts one rank. */
export function makeRankRecord(
    id: string,
    base: number,
    name: string,
    timeLimitMs: number,
    extra: Partial<ChangeSet> = {},
) {
    const value = { urgency: 5, share: 0.01, timeLimitMs };
    const changes = [{ op: ChangeOperation.Put, kind: ObjectType.Rank, name, value }];
    return makeChangeSetRecord({ id, author: "test", base, changes, ...extra });
}
