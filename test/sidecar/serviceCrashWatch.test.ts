import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { DispatchMessage } from "../../src/link/messages.js";
import { ServiceResultKind } from "../../src/ports/plainService.js";
import { watchServiceCrashes } from "../../src/sidecar/serviceCrashWatch.js";
import { describeResult } from "../../src/sidecar/serviceRunner.js";
import { Work, WorkListener } from "../../src/sidecar/work.js";

/** Guards against a service that resets connections being taken for one that ends, and one end being counted twice. */
test("calls without an answer are suspects once if the service then refuses connections, and none if it does not", async () => {
    const timers = createManualTimerService();
    const listeners: WorkListener[] = [];
    const crashes: string[][] = [];
    let isRunning = true;
    let ends = 0;
    const run = watchServiceCrashes((work, listener) => {
        listeners.push(listener);
        return { cancel: () => undefined };
    }, {
        timers,
        isServiceRunning: () => Promise.resolve(isRunning),
        handleCrash: calls => crashes.push(calls.map(({ work }) => work.dispatch.request)),
    });
    const works = ["0", "1", "2"].map(request => ({ dispatch: { request } as DispatchMessage }) as Work);
    works.forEach(work => run(work, { handleItems: () => undefined, handleEnd: () => ends++ }));
    const breakCall = async (index: number) => {
        const failure = { kind: ServiceResultKind.Unknown, message: "other side closed" } as const;
        listeners[index]!.handleEnd(describeResult(works[index]!, failure), 0);
        for (let round = 0; round < 50; round++) {
            timers.advance(10);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    await breakCall(0);
    assert.deepEqual([crashes, ends], [[], 1]);
    isRunning = false;
    await breakCall(1);
    await breakCall(2);
    assert.deepEqual([crashes, ends], [[["1", "2"]], 3]);
});
