import { TimerService } from "../base/timerService.js";
import { HostRecord } from "../ports/hostList.js";
import { readBody, RunningServer, sendJson, startHttpServer } from "./httpServer.js";

/** Settings of the emulated host list. */
export interface EmulatedHostListSettings {
    readonly port: number;
    /** Time until a change appears in the list, in milliseconds. */
    readonly lagMs: number;
}

/**
 * Starts an emulated host list on loopback: `GET /hosts`, `PUT /hosts/NAME`, `DELETE /hosts/NAME`. Changes
 * appear after `lagMs`.
 *
 * @example
 * const hosts = await startEmulatedHostList({ port: 0, lagMs: 60_000 }, timers);
 */
export async function startEmulatedHostList(
    settings: EmulatedHostListSettings,
    timers: TimerService,
): Promise<RunningServer> {
    const hosts = new Map<string, HostRecord>();

    function change(apply: () => void) {
        if (settings.lagMs === 0) {
            apply();
        }
        else {
            timers.schedule(settings.lagMs, apply);
        }
    }

    return startHttpServer(settings.port, async (request, response) => {
        const name = decodeURIComponent(/^\/hosts\/([^/]+)$/.exec(request.url ?? "")?.[1] ?? "");
        if (request.method === "GET" && request.url === "/hosts") {
            sendJson(response, 200, [...hosts.values()]);
        }
        else if (request.method === "PUT" && name) {
            const host = { ...JSON.parse((await readBody(request)).toString("utf8")) as HostRecord, name };
            change(() => hosts.set(name, host));
            sendJson(response, 200, {});
        }
        else if (request.method === "DELETE" && name) {
            change(() => hosts.delete(name));
            sendJson(response, 200, {});
        }
        else {
            sendJson(response, 404, { error: `no route ${request.method} ${request.url}` });
        }
    });
}
