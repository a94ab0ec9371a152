import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createStoreClient } from "../../platform/storeClient.js";
import { followKeys } from "./support/followedKeys.js";
import { startStoreStandIn, StoreCopy, StoreFault } from "./support/storeStandIn.js";

const topic = "keyed.test";
const keyCount = 6;
const readWaitMs = 60;
/** Time after the last action within which every key must be right, in milliseconds. */
const knownWithinMs = 1_000;
const runs = 12;
const seeds: readonly number[] = [20_261_204, 27, 410];

enum ActionKind {
    Append = "append",
    Remove = "remove",
    Copy = "copy",
    Restore = "restore",
    Cut = "cut",
    DropHistory = "drop-history",
    RestartFollower = "restart-follower",
    Wait = "wait",
}

interface Action {
    readonly kind: ActionKind;
    readonly key: number;
    readonly durationMs: number;
}

const kinds = [
    ...Object.values(ActionKind),
    ActionKind.Append,
    ActionKind.Append,
    ActionKind.Append,
    ActionKind.Restore,
    ActionKind.Wait,
];
const action: fc.Arbitrary<Action> = fc.record({
    kind: fc.constantFrom(...kinds),
    key: fc.nat(keyCount - 1),
    durationMs: fc.integer({ min: 1, max: 120 }),
});

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function runActions(actions: readonly Action[]): Promise<void> {
    const store = await startStoreStandIn();
    store.setPageSize(2);
    const client = createStoreClient(store.address);
    let follower = followKeys(client, topic, readWaitMs);
    /** What the store holds, by key. */
    let held = new Map<string, string>();
    const copies: { readonly copy: StoreCopy; readonly held: Map<string, string> }[] = [];
    let writes = 0;
    const makeCopy = () => copies.push({ copy: store.makeCopy(), held: new Map(held) });
    makeCopy();
    try {
        for (const { kind, key, durationMs } of actions) {
            const name = `key-${key}`;
            switch (kind) {
                case ActionKind.Append:
                    held.set(name, `value ${++writes}`);
                    store.put(topic, name, held.get(name)!);
                    break;
                case ActionKind.Remove:
                    held.delete(name);
                    store.remove(topic, name);
                    break;
                case ActionKind.Copy:
                    makeCopy();
                    break;
                case ActionKind.Restore: {
                    const chosen = copies[durationMs % copies.length]!;
                    store.restore(chosen.copy);
                    held = new Map(chosen.held);
                    break;
                }
                case ActionKind.Cut:
                    store.setFault(durationMs % 2 === 0 ? StoreFault.Reset : StoreFault.Busy);
                    await wait(durationMs);
                    store.setFault(StoreFault.None);
                    break;
                case ActionKind.DropHistory:
                    store.dropHistory(topic);
                    break;
                case ActionKind.RestartFollower:
                    follower.dispose();
                    follower = followKeys(client, topic, readWaitMs);
                    break;
                case ActionKind.Wait:
                    await wait(durationMs);
                    break;
            }
        }
        await wait(knownWithinMs);
        assert.deepEqual([...follower.known].sort(), [...held].sort());
    }
    finally {
        follower.dispose();
        await client.close();
        await store.close();
    }
}

describe("a follower knows every key of a store that is written, cut, emptied and restored at random", {
    concurrency: seeds.length,
}, () => {
    for (const seed of seeds) {
        test(`seed ${seed}`, async () => {
            await fc.assert(
                fc.asyncProperty(fc.array(action, { minLength: 5, maxLength: 40 }), runActions),
                { seed, numRuns: runs, endOnFailure: true },
            );
        });
    }
});
