import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import { formatEvent } from "../../src/base/log.js";
import { LogEvent } from "../../src/base/logEvents.js";
import { startSystem, TestSystem, waitUntil } from "../system/system.js";

const directory = new URL("../../../test/golden/", import.meta.url);
const idPattern = /[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}/g;
const shownHeaders = ["content-type", "jujubelane-verdict", "retry-after", "jujubelane-replayed"];

/** Log events that are part of a recorded session: decisions and verdicts, but not the opening of links. */
const shownEvents = new Set([
    LogEvent.RequestAdmitted,
    LogEvent.RequestRefused,
    LogEvent.EndpointChosen,
    LogEvent.RequestRetried,
    LogEvent.RequestEnded,
    LogEvent.WorkQueued,
    LogEvent.WorkRefused,
    LogEvent.WorkStarted,
    LogEvent.WorkEnded,
    LogEvent.EndpointLeaving,
]);

interface Session {
    readonly name: string;
    readonly engines: number;
    readonly services: number;
    readonly prepare?: (system: TestSystem) => Promise<void>;
    readonly path: string;
    readonly body: unknown;
    readonly headers?: Record<string, string>;
}

const completion = { model: "demo", prompt: "draft the gang for field 7", max_tokens: 4 };
const sessions: readonly Session[] = [
    { name: "shortPrompt", engines: 1, services: 0, path: "/v1/completions", body: completion },
    { name: "streamedPrompt", engines: 1, services: 0, path: "/v1/completions", body: { ...completion, stream: true } },
    { name: "booking", engines: 0, services: 1, path: "/v1/services/bookings/crews", body: { crew: 7, day: 1 } },
    {
        name: "drainedEndpoint",
        engines: 2,
        services: 0,
        async prepare(system) {
            void system.endpoints[0]!.sidecar.drain();
            await waitUntil(() => system.entry.state.directory.get("engine-1")!.isLeaving());
        },
        path: "/v1/completions",
        body: completion,
    },
    {
        name: "refusedPrompt",
        engines: 1,
        services: 0,
        path: "/v1/completions",
        body: { ...completion, prompt: "ledger line ".repeat(40_000) },
    },
];

/** Replaces ids, times and durations, which differ between runs. */
function normalize(text: string): string {
    const ids: string[] = [];
    return text.replace(idPattern, id => {
        if (!ids.includes(id)) {
            ids.push(id);
        }
        return `ID${ids.indexOf(id) + 1}`;
    })
        .replace(/"created":\d+/g, '"created":0')
        .replace(/(elapsedMs|waitedMs|predictedMs|retryAfterMs)=\S+/g, "$1=*");
}

/** Joins adjacent events of a streamed answer: the number of tokens in an event depends on timing, the text does not. */
function joinEvents(answer: string): string {
    const eventBoundary = /","finish_reason":null}]}\n\ndata: {[^\n]*"index":0,"text":"(?=[^\n]*"finish_reason":null)/g;
    return answer.replace(eventBoundary, "");
}

function shorten(text: string): string {
    return text.length > 500 ? `${text.slice(0, 100)}... (${text.length} characters)` : text;
}

async function record(session: Session): Promise<string> {
    const system = await startSystem({ engines: session.engines, services: session.services });
    try {
        await session.prepare?.(system);
        const response = await system.send(session.path, session.body, session.headers);
        const answer = await response.text();
        await waitUntil(() =>
            system.events.some(({ event }) => event === LogEvent.RequestEnded || event === LogEvent.RequestRefused)
        );
        const headers = shownHeaders.flatMap(name =>
            response.headers.has(name) ? [`${name}: ${response.headers.get(name)}`] : []
        );
        const lines = system.events.filter(({ event }) => shownEvents.has(event))
            .map(({ event, fields }) => formatEvent(event, fields));
        return normalize([
            `> POST ${session.path}`,
            `> ${shorten(JSON.stringify(session.body))}`,
            "",
            ...lines,
            "",
            `< ${response.status}`,
            ...headers.map(header => `< ${header}`),
            ...joinEvents(answer).trim().split("\n").map(line => `< ${line}`),
            "",
        ].join("\n"));
    }
    finally {
        await system.close();
    }
}

// Guards against unintended changes in what customers and the log see of a request. UPDATE_GOLDEN=1 rewrites the files.
for (const session of sessions) {
    test(`the session matches its golden file: ${session.name}`, async () => {
        const file = new URL(`${session.name}.txt`, directory);
        const recorded = await record(session);
        if (process.env.UPDATE_GOLDEN === "1") {
            writeFileSync(file, recorded);
        }
        assert.equal(recorded, readFileSync(file, "utf8"));
    });
}
