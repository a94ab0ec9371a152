import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import { createStoreClient } from "../../platform/storeClient.js";
import { ResultKind } from "../../src/base/result.js";

const answerDelayMs = 200;

/** Guards against a store that fails for one feed delaying all others, as after the restart in incident inc-74a7. */
test("a call that fails does not break off the calls of other feeds", async context => {
    const server = createServer((request, response) => {
        if (request.url!.includes("topic=failing")) {
            request.socket.resetAndDestroy();
            return;
        }
        setTimeout(() => response.end('{"items":[],"has_more":false,"end":0}'), answerDelayMs);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number };
    const store = createStoreClient(`127.0.0.1:${port}`);
    context.after(async () => {
        await store.close();
        server.close();
    });
    const sound = store.openFeed("sound").readNewest();
    await new Promise(resolve => setTimeout(resolve, answerDelayMs / 4));
    const failing = await store.openFeed("failing").readNewest();
    assert.equal(failing.kind, ResultKind.Failure);
    assert.equal((await sound).kind, ResultKind.Success);
});
