import assert from "node:assert/strict";
import { test } from "node:test";
import { ResultKind } from "../../src/base/result.js";
import { formatProblem } from "../../src/config/problems.js";
import { validateObjects } from "../../src/config/validate.js";
import { sampleSections } from "./samples.js";

type Sections = Record<string, Record<string, Record<string, unknown>>>;

/** Each case makes the sample invalid in a way that would otherwise cause a failure at run time. */
const cases: readonly (readonly [string, (sections: Sections) => void, readonly RegExp[]])[] = [
    ["a model whose version does not exist", s => delete s.versions!["demo-v1"], [
        /^f\.yaml: models\.demo: version: found "demo-v1"; allowed: a name in versions: demo-v2, other-v1$/,
    ]],
    ["a version of another model", s => s.models!.demo!.version = "other-v1", [
        /models\.demo: version: found "other-v1", a version of "other"; allowed: .*: demo-v1, demo-v2$/,
    ]],
    ["an endpoint whose model does not exist", s => s.endpoints!["engine-1"]!.model = "none", [
        /endpoints\.engine-1: model: found "none"; allowed: a name in models: demo, other/,
        /adapters\.0: found "tone", an adapter of "demo"/,
    ]],
    ["an endpoint whose service does not exist", s => s.endpoints!["booking-1"]!.service = "none", [
        /service: found "none"/,
    ]],
    ["an endpoint whose adapter does not exist", s => s.endpoints!["engine-1"]!.adapters = ["x"], [
        /adapters\.0: found "x"; .*: tone/,
    ]],
    ["an adapter at an endpoint of a plain service", s => s.endpoints!["booking-1"]!.adapters = ["tone"], [
        /booking-1: adapters\.0/,
    ]],
    ["an endpoint with both a model and a service", s => s.endpoints!["booking-1"]!.model = "demo", [/exactly one of/]],
    ["an adapter whose model does not exist", s => s.adapters!.tone!.model = "constructor", [
        /adapters\.tone: model: found "constructor"/,
        /an adapter of "constructor"/,
    ]],
    ["a kind whose rank does not exist", s => s.kinds!.question!.rank = "x", [
        /kinds\.question: rank: found "x"; .*: urgent, bulk/,
    ]],
    ["a service whose rank does not exist", s => s.services!.bookings!.rank = "x", [
        /services\.bookings: rank: found "x"/,
    ]],
    [
        "a customer whose rank and kind do not exist",
        s => Object.assign(s.customers!.planner!, { ranks: ["urgent", "x"], defaultKind: "y" }),
        [
            /customers\.planner: ranks\.1: found "x"/,
            /customers\.planner: defaultKind: found "y"; allowed: a name in kinds: question/,
        ],
    ],
    [
        "rank shares whose sum exceeds 1",
        s => Object.assign(s.ranks!.urgent!, { share: 0.7 }) && (s.ranks!.bulk!.share = 0.4),
        [
            /ranks: share: found a sum of 1\.1 \(urgent 0\.7, bulk 0\.4\); allowed: .* at most 1/,
        ],
    ],
    ["a key digest that two customers share", s => s.customers!.clerk = { ...s.customers!.planner }, [
        /customers\.clerk: keyDigests\.0: found "a+", also in customers\.planner/,
    ]],
    ["schema errors and invalid references together", s => {
        delete s.models!.demo!.version;
        s.ranks!.urgent!.urgency = "high";
        s.kinds!.question!.colour = "red";
        s.services!.bookings!.rank = "x";
        s.engines = {};
    }, [
        /models\.demo: version: found nothing; allowed: a value of type string/,
        /ranks\.urgent: urgency: found "high"; allowed: a value of type number/,
        /kinds\.question: colour: found this field; allowed: the fields rank, costBasis, costWeight/,
        /engines: found this section; allowed: models, versions/,
        /services\.bookings: rank: found "x"/,
    ]],
    ["a section that is a list", s => s.ranks = [] as never, [/ranks: found \[\]; allowed: a map/, /found "urgent"/]],
];

for (const [name, invalidate, expected] of cases) {
    test(`an invalid configuration is rejected: ${name}`, () => {
        const sections = structuredClone(sampleSections) as unknown as Sections;
        invalidate(sections);
        const result = validateObjects(sections, () => "f.yaml");
        assert.equal(result.kind, ResultKind.Failure);
        const lines = result.error.map(formatProblem);
        for (const pattern of expected) {
            assert.ok(lines.some(line => pattern.test(line)), `${pattern} in\n${lines.join("\n")}`);
        }
    });
}

test("a valid configuration is accepted and its defaults are filled in", () => {
    const result = validateObjects(sampleSections);
    assert.equal(result.kind, ResultKind.Success);
    assert.equal(result.value.ranks.urgent?.share, 0.05);
});
