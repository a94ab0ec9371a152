import { makeId } from "../base/ids.js";
import { TimerService } from "../base/timerService.js";
import { readBody, RunningServer, sendJson, startHttpServer } from "./httpServer.js";

/** Settings of the emulated weight store. */
export interface EmulatedWeightStoreSettings {
    readonly port: number;
    /** Read permissions granted per second. The burst size is the same, but at least one. */
    readonly grantsPerSecond: number;
}

const millisecondsPerSecond = 1000;
const weightsPattern = /^\/v1\/weights\/([^/]+)\/tickets$/;

/**
 * Starts an emulated weight store on loopback: `POST /v1/weights/NAME/tickets` answers 200 with a token, or 429 with
 * the time to wait. `POST /emulator/faults` with `{"down": true}` makes it answer 503; `GET /emulator/state`
 * returns the counts of granted and refused permissions.
 *
 * @example
 * const store = await startEmulatedWeightStore({ port: 0, grantsPerSecond: 2 }, timers);
 */
export async function startEmulatedWeightStore(
    settings: EmulatedWeightStoreSettings,
    timers: TimerService,
): Promise<RunningServer> {
    const burst = Math.max(1, settings.grantsPerSecond);
    let availableGrants = burst;
    let updatedMs = timers.now();
    let down = false;
    const counts = { granted: 0, refused: 0 };

    function acquire(): number {
        const nowMs = timers.now();
        const refill = (nowMs - updatedMs) * settings.grantsPerSecond / millisecondsPerSecond;
        availableGrants = Math.min(burst, availableGrants + refill);
        updatedMs = nowMs;
        if (availableGrants >= 1) {
            availableGrants -= 1;
            return 0;
        }
        return Math.ceil((1 - availableGrants) * millisecondsPerSecond / settings.grantsPerSecond);
    }

    return startHttpServer(settings.port, async (request, response) => {
        const path = request.url ?? "";
        if (request.method === "GET" && path === "/emulator/state") {
            sendJson(response, 200, counts);
        }
        else if (request.method === "POST" && path === "/emulator/faults") {
            down = (JSON.parse((await readBody(request)).toString("utf8")) as { down: boolean }).down;
            sendJson(response, 200, {});
        }
        else if (request.method !== "POST" || !weightsPattern.test(path)) {
            sendJson(response, 404, { error: `no route ${request.method} ${path}` });
        }
        else if (down) {
            sendJson(response, 503, { error: "the weight store is down" });
        }
        else {
            const retryAfterMs = acquire();
            counts[retryAfterMs > 0 ? "refused" : "granted"]++;
            sendJson(response, retryAfterMs > 0 ? 429 : 200, retryAfterMs > 0 ? { retryAfterMs } : { token: makeId() });
        }
    });
}
