import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createCrashEvidence, defaultEvidenceSettings, isCrashSuspect } from "../../src/quarantine/crashEvidence.js";

const spacingMs = 1_000;

/** Evidence with a clock that moves on by a second after each crash. */
function setUp() {
    const evidence = createCrashEvidence(defaultEvidenceSettings);
    let nowMs = 0;
    let crashCount = 0;
    return {
        evidence,
        getNow: () => nowMs,
        crash: (...suspects: (readonly string[])[]): void => {
            evidence.recordCrash({ crash: `engine/${crashCount++}`, ageMs: 0, suspects }, nowMs);
            nowMs += spacingMs;
        },
        answer: (...traits: string[]) => evidence.recordAnswer([...traits, "answered"], nowMs),
        takeCulprit: () => evidence.takeCulprit(nowMs)?.trait,
        advance: (ms: number): void => {
            nowMs += ms;
        },
    };
}

describe("culprit of crashes", () => {
    test("is the part that different requests on three crashed endpoints have in common", () => {
        const { crash, takeCulprit } = setUp();
        crash(["first", "bad", "r1"], ["first", "other", "s1"]);
        crash(["first", "bad", "r2"]);
        assert.equal(takeCulprit(), undefined);
        crash(["first", "bad", "r3"], ["first", "third", "s2"]);
        assert.equal(takeCulprit(), "bad");
        assert.equal(takeCulprit(), undefined, "the first part is explained");
    });

    test("is not a part under which an answer went on since, however many crashes it was there", () => {
        const { crash, answer, takeCulprit } = setUp();
        for (let count = 0; count < 8; count++) {
            crash(["first", "rare", `s${count}`]);
            if (count % 2 === 1) {
                answer("first", "rare");
            }
        }
        assert.equal(takeCulprit(), undefined);
    });

    test("is found beside a flood of sound requests that share the first part", () => {
        const { crash, answer, takeCulprit } = setUp();
        for (let count = 0; count < 3; count++) {
            const sound = Array.from({ length: 8 }, (unused, index) => ["first", `c${index}`, `s${count}.${index}`]);
            crash(...sound, ["first", "bad", `r${count}`]);
            sound.slice(0, 5).forEach(traits => answer(traits[0]!, traits[1]!));
        }
        // Parts without an answer are as likely as the bad one.
        assert.equal(takeCulprit(), undefined);
        crash(["first", "bad", "r3"]);
        assert.equal(takeCulprit(), "bad");
    });

    test("is each of two parts that crash endpoints at the same time", () => {
        const { crash, takeCulprit } = setUp();
        for (let count = 0; count < 4; count++) {
            crash(["first", "bad1", `r${count}`]);
            crash(["first", "bad2", `q${count}`]);
        }
        const culprits = [takeCulprit(), takeCulprit()];
        assert.deepEqual(culprits.sort(), ["bad1", "bad2"]);
    });

    test("is a request that shares nothing after its second crash", () => {
        const { crash, takeCulprit } = setUp();
        crash(["r"], ["s"]);
        crash(["r"], ["t"]);
        assert.equal(takeCulprit(), "r");
    });

    test("is a request that has been answered before only after its third crash: it is often there when endpoints fail", () => {
        const { evidence, getNow, crash, takeCulprit, advance } = setUp();
        evidence.recordAnswer(["popular"], getNow());
        advance(spacingMs);
        crash(["popular"]);
        crash(["popular"]);
        assert.equal(takeCulprit(), undefined);
        crash(["popular"]);
        assert.equal(takeCulprit(), "popular");
    });

    test("is still found among parts after answers to any number of other requests", () => {
        const { evidence, getNow, crash, answer, takeCulprit } = setUp();
        answer("first", "sound");
        for (let count = 0; count < 10_000; count++) {
            evidence.recordAnswer([`r${count}`], getNow());
        }
        assert.notEqual(evidence.getLastAnswerMs("sound"), undefined);
        assert.equal(evidence.getLastAnswerMs("r0"), undefined, "the memory is bounded");
        crash(["bad"]);
        crash(["bad"]);
        assert.equal(takeCulprit(), "bad");
    });

    test("is a request that was sent on each time after the crash before, although the crashes follow each other closely", () => {
        const { evidence, getNow, takeCulprit, advance } = setUp();
        for (let instance = 0; instance < 3; instance++) {
            advance(80);
            evidence.recordCrash(
                { crash: `desk/${instance}`, ageMs: 0, suspects: [["bad"]], runningMs: [70] },
                getNow(),
            );
            assert.equal(takeCulprit(), instance < 2 ? undefined : "bad");
        }
    });

    test("is not a request that was sent to all of a rack's endpoints before the first of them failed", () => {
        const { evidence, getNow, takeCulprit, advance } = setUp();
        for (let instance = 0; instance < 3; instance++) {
            advance(80);
            const runningMs = [100 + 80 * instance];
            evidence.recordCrash({ crash: `desk/${instance}`, ageMs: 0, suspects: [["s"]], runningMs }, getNow());
        }
        assert.equal(takeCulprit(), undefined);
    });

    test("is not a request that was answered before and was sent on from one failing endpoint to the next", () => {
        const { evidence, getNow, takeCulprit, advance } = setUp();
        evidence.recordAnswer(["popular"], getNow());
        for (let instance = 0; instance < 3; instance++) {
            advance(80);
            const report = { crash: `desk/${instance}`, ageMs: 0, suspects: [["popular"]], runningMs: [70] };
            evidence.recordCrash(report, getNow());
        }
        assert.equal(takeCulprit(), undefined);
    });

    test("is the request and not its part if only one request crashes endpoints", () => {
        const { crash, takeCulprit } = setUp();
        for (let count = 0; count < 3; count++) {
            crash(["first", "part", "same"]);
        }
        assert.equal(takeCulprit(), "same");
        assert.equal(takeCulprit(), undefined);
        // Another request with the part crashes an endpoint as well, so that the part is the cause.
        crash(["first", "part", "another"]);
        assert.equal(takeCulprit(), "part");
    });

    test("is nothing that ran on a rack whose endpoints end together", () => {
        const { evidence, getNow, takeCulprit } = setUp();
        for (let engine = 0; engine < 12; engine++) {
            const suspects = [["first", "shared", `a${engine}`], ["first", "session", `b${engine}`]];
            evidence.recordCrash({ crash: `rack/${engine}`, ageMs: engine * 10, suspects }, getNow());
        }
        assert.equal(takeCulprit(), undefined);
    });

    test("is known with the first crash after five that followed each other closely", () => {
        const { evidence, getNow, crash, takeCulprit, advance } = setUp();
        for (let engine = 0; engine < 5; engine++) {
            const suspects = [["first", "bad", `r${engine}`]];
            evidence.recordCrash({ crash: `burst/${engine}`, ageMs: 0, suspects }, getNow());
            advance(20);
        }
        assert.equal(takeCulprit(), undefined, "a rack may have ended");
        advance(spacingMs);
        crash(["first", "bad", "r5"]);
        assert.equal(takeCulprit(), "bad");
    });

    test("does not depend on the number of gateways that report a crash", () => {
        const { evidence, getNow, takeCulprit, advance } = setUp();
        for (let gateway = 0; gateway < 6; gateway++) {
            const suspects = [["first", "shared", `a${gateway}`]];
            evidence.recordCrash({ crash: "engine/1", ageMs: 0, suspects }, getNow());
            advance(spacingMs);
        }
        assert.equal(takeCulprit(), undefined);
    });

    test("is forgotten with its evidence, so that old crashes do not add up", () => {
        const { crash, takeCulprit, advance } = setUp();
        crash(["first", "bad", "r1"]);
        crash(["first", "bad", "r2"]);
        advance(defaultEvidenceSettings.evidenceMs);
        crash(["first", "bad", "r3"]);
        assert.equal(takeCulprit(), undefined);
    });
});

describe("suspects of a crash", () => {
    const cases: readonly [string, number, number, number, boolean][] = [
        ["an answer that begins", 0, 120, 100, true],
        ["an answer with its first event", 1, 120, 100, true],
        ["an answer that has gone on", 4, 400, 100, false],
        ["a prompt that is far from being prefilled", 0, 1_000, 5_000, false],
        ["a prompt whose prefill takes as long as predicted", 0, 5_000, 5_000, true],
    ];
    for (const [name, events, elapsedMs, predictedMs, expected] of cases) {
        test(`${name}: ${expected ? "suspect" : "no suspect"}`, () => {
            assert.equal(isCrashSuspect({ events, elapsedMs, predictedMs }), expected);
        });
    }
});
