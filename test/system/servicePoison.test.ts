import assert from "node:assert/strict";
import { test } from "node:test";
import { ErrorCode } from "../../src/base/requestError.js";
import { startSystem, testKeys } from "./system.js";

const poison = "POISON";
const allowedCrashes = 3;

for (const method of ["POST", "GET"]) {
    /** Guards against a plain request that ends one instance of its service after the other. */
    test(`a ${method} that ends the instances of a plain service is refused after three, and others are served`, async () => {
        const system = await startSystem({ engines: 0, services: 5, entries: 2, servicePoison: poison });
        const origins = [system.url, system.otherEntries[0]!.url];
        const send = async (path: string, index: number) => {
            const response = await fetch(`${origins[index % 2]}/v1/services/bookings/${path}`, {
                method,
                headers: { authorization: `Bearer ${testKeys.planner}` },
                body: method === "GET" ? undefined : "{}",
            });
            return { status: response.status, text: await response.text() };
        };
        try {
            const codes: string[] = [];
            for (let count = 0; count < 8; count++) {
                const poisoned = await send(`crews?${poison}`, count);
                codes.push((JSON.parse(poisoned.text) as { error: { code: string } }).error.code);
                const sound = await send(`crews?day=${count}`, count);
                assert.equal(sound.status, 200, sound.text);
                // Longer than the time within which crashes count as those of one rack.
                await new Promise(resolve => setTimeout(resolve, 300));
            }
            const crashes = system.endpoints.reduce((sum, endpoint) => sum + endpoint.service!.countCrashes(), 0);
            assert.ok(crashes <= allowedCrashes, `${crashes} instances ended`);
            assert.equal(codes.at(-1), ErrorCode.Quarantined);
        }
        finally {
            await system.close();
        }
    });
}
