import assert from "node:assert/strict";
import { test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { EngineCommandKind, EngineCommandResultKind } from "../../src/ports/modelEngine.js";
import { createFleet, Fleet, loadingMs, RolloutMode } from "./fleet.js";

interface VersionCase {
    readonly name: string;
    readonly checksFencing?: boolean;
    /** Injects the fault. Called after each of the three publishes, while engines load. `round` counts from 0. */
    readonly inject: (fleet: Fleet, round: number) => void;
    /** Ends the fault before the last wait. Absent for a fault that ends by itself. */
    readonly clearFaults?: (fleet: Fleet) => void;
    /** Whether an engine stays on the wrong version if each command is sent once and its effect is not checked. */
    readonly failsWhenSentOnce: boolean;
}

const getFirstEngine = (fleet: Fleet) => fleet.engines[0]!;
const clearFaults = (fleet: Fleet) => {
    getFirstEngine(fleet).frozen = false;
    fleet.store.down = false;
    fleet.logModel.updateFaults({ unavailable: false, unresponsive: false });
};

/**
 * Faults during a roll-forward, a rollback and another roll-forward. They guard against a failure seen earlier: after a
 * complete rollback, the next roll-forward left some engines on the old version.
 */
const cases: readonly VersionCase[] = [
    { name: "no fault", inject: () => undefined, failsWhenSentOnce: false },
    {
        name: "an engine is frozen from the rollback on",
        inject(fleet, round) {
            getFirstEngine(fleet).frozen = round >= 1;
        },
        clearFaults,
        failsWhenSentOnce: true,
    },
    {
        name: "an engine restarts on the old version",
        inject: fleet => getFirstEngine(fleet).restart(),
        failsWhenSentOnce: true,
    },
    {
        name: "an engine that ignores fencing tokens restarts on the old version",
        checksFencing: false,
        inject: fleet => getFirstEngine(fleet).restart(),
        failsWhenSentOnce: true,
    },
    {
        name: "the command of the roll-forward is lost",
        inject(fleet, round) {
            getFirstEngine(fleet).lostCommands = round === 1 ? 1 : 0;
        },
        failsWhenSentOnce: true,
    },
    {
        name: "answers to commands are lost",
        inject(fleet) {
            getFirstEngine(fleet).lostAnswers = 2;
        },
        failsWhenSentOnce: false,
    },
    {
        name: "the log is down from the rollback on",
        inject: (fleet, round) => fleet.logModel.updateFaults({ unavailable: round >= 1 }),
        clearFaults,
        failsWhenSentOnce: false,
    },
    {
        name: "the log loses answers and repeats appends",
        inject: fleet => fleet.logModel.updateFaults({ lostAnswers: 2, duplicatedAppends: 2, lostAppends: 1 }),
        failsWhenSentOnce: false,
    },
    {
        name: "the weight store is down during the changes",
        inject(fleet) {
            fleet.store.down = true;
        },
        clearFaults,
        failsWhenSentOnce: false,
    },
    {
        name: "a sidecar restarts while its engine loads",
        inject: fleet => fleet.restartSidecar(0),
        failsWhenSentOnce: false,
    },
    {
        name: "a command of an earlier generation arrives late at an engine that ignores fencing tokens",
        checksFencing: false,
        inject(fleet, round) {
            if (round === 2) {
                sendStale(fleet);
            }
        },
        failsWhenSentOnce: true,
    },
    {
        name: "a command of an earlier generation arrives late at an engine that checks fencing tokens",
        inject(fleet, round) {
            if (round === 2) {
                sendStale(fleet);
            }
        },
        failsWhenSentOnce: false,
    },
];

/** Sends the command of a slot holder that has been paused since generation 1. */
function sendStale(fleet: Fleet) {
    void getFirstEngine(fleet).engine.command({ kind: EngineCommandKind.LoadVersion, fencingToken: 1, version: "v1" });
}

async function changeVersions(fleet: Fleet, versionCase: VersionCase) {
    await fleet.run(1_000);
    for (const [round, version] of ["v2", "v1", "v2"].entries()) {
        fleet.publish(version);
        // Some engines are loading, others wait for a slot.
        await fleet.run(loadingMs + 600);
        versionCase.inject(fleet, round);
        await fleet.run(600);
    }
    await fleet.run(3_000);
    versionCase.clearFaults?.(fleet);
    await fleet.run(60_000);
}

for (const versionCase of cases) {
    test(`a roll-forward, a rollback and another roll-forward end on the accepted version: ${versionCase.name}`, async () => {
        const fleet = createFleet(4, versionCase.checksFencing ?? true);
        await changeVersions(fleet, versionCase);
        assert.ok(fleet.isConverged(), fleet.describe());
        assert.ok(fleet.getMaxLoading() <= 2, `${fleet.getMaxLoading()} of 4 engines loaded at a time`);
    });

    if (versionCase.failsWhenSentOnce) {
        test(`commands that are sent once leave an engine on the old version: ${versionCase.name}`, async () => {
            const fleet = createFleet(4, versionCase.checksFencing ?? true, RolloutMode.SendOnce);
            await changeVersions(fleet, versionCase);
            assert.ok(!fleet.isConverged(), "the engines converge without reconciliation, so the fault proves nothing");
        });
    }
}

test("a command from a paused slot holder has no effect after a rollback, even if the engine never received it before", async () => {
    const fleet = createFleet(1, true);
    await fleet.run(1_000);
    // v2 is rolled back before the engine receives a command to load it. Only the fence command of generation 2 makes
    // the engine refuse commands of generation 1.
    fleet.logModel.updateFaults({ unavailable: true });
    fleet.publish("v2");
    await fleet.run(100);
    fleet.publish("v1");
    await fleet.run(2_000);
    const result = await getFirstEngine(fleet).engine.command({
        kind: EngineCommandKind.LoadVersion,
        fencingToken: 1,
        version: "v2",
    });
    assert.equal(result.kind, EngineCommandResultKind.Stale);
    await fleet.run(2_000);
    assert.equal(getFirstEngine(fleet).getVersion(), "v1");
});

test("with the log and the weight store down an engine keeps serving and does not report the new generation as reconciled", async () => {
    const fleet = createFleet(2, true);
    await fleet.run(1_000);
    fleet.logModel.updateFaults({ unresponsive: true });
    fleet.store.down = true;
    fleet.publish("v2");
    await fleet.run(20_000);
    assert.deepEqual(fleet.engines.map(engine => engine.getVersion()), ["v1", "v1"]);
    assert.ok(!fleet.isConverged());
    assert.ok(
        !fleet.events.some(({ event, fields }) => event === LogEvent.EngineReconciled && fields["generation"] === 1),
    );
});
