import { test } from "node:test";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { createLogModel, defaultLogModelSettings } from "../../src/emulator/log/logModel.js";
import { createMemoryLogService } from "../../src/emulator/log/memoryLogService.js";
import { controlStream, createLoadSlots } from "../../src/sidecar/loadSlots.js";
import { waitUntil } from "../platform/support/deployment.js";

/** Guards against two endpoints that load at once because one of them holds a slot that the log has lost. */
test("a slot whose record was lost is given up, although the log was written past its offset again", async () => {
    const timers = createSystemTimerService();
    const model = createLogModel(defaultLogModelSettings, timers);
    const logService = createMemoryLogService(model, timers);
    const holders = new Set<string>();
    const create = (name: string) =>
        createLoadSlots(logService, timers, () => undefined, name, {
            handleGranted: () => void holders.add(name),
            handleLost: () => void holders.delete(name),
        }, { durationMs: 600, pollMs: 20 });
    await logService.append(controlStream, ["kept"]);
    const copy = model.makeCopy();
    const [one, two] = [create("one"), create("two")];
    try {
        one.acquire("demo", 1);
        await waitUntil("granted", () => holders.has("one"));
        model.restore(copy);
        // The second endpoint gets the offset that the first one has as its token.
        two.acquire("demo", 1);
        await logService.append(controlStream, Array.from({ length: 10 }, () => "other"));
        await waitUntil("granted again", () => holders.has("two"));
        await waitUntil("given up", () => !holders.has("one"));
    }
    finally {
        one.dispose();
        two.dispose();
    }
});
