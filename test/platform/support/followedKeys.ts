import { StoreClient } from "../../../platform/storeClient.js";
import { Disposable } from "../../../src/base/disposable.js";
import { createSystemTimerService } from "../../../src/base/systemTimerService.js";
import { followFeed } from "../../../src/gateway/feedFollower.js";
import { KeyedRecord } from "../../../src/ports/recordFeed.js";

/** What a follower of a topic knows. */
export interface FollowedKeys extends Disposable {
    readonly known: ReadonlyMap<string, string>;
}

/** Follows a topic with the real follower and keeps its newest values as text. */
export function followKeys(client: StoreClient, topic: string, waitMs: number): FollowedKeys {
    const known = new Map<string, string>();
    const apply = (records: readonly KeyedRecord[]) => {
        for (const { key, value } of records) {
            if (value) {
                known.set(key, Buffer.from(value).toString("utf8"));
            }
            else {
                known.delete(key);
            }
        }
    };
    const following = followFeed({
        name: "test",
        feed: client.openFeed(topic),
        timing: { waitMs, pauseMs: 0 },
        timers: createSystemTimerService(),
        log: () => undefined,
        listener: {
            onSnapshot(records) {
                known.clear();
                apply(records);
            },
            onRestored: () => undefined,
            onUpdate: apply,
            onUnavailable: () => undefined,
            onAvailable: () => undefined,
        },
    });
    return { known, dispose: () => following.dispose() };
}
