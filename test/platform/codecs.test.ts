import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decodeConfiguration } from "../../platform/configurationCodec.js";
import { decodeEndpoint } from "../../platform/endpointCodec.js";
import { exchangeCodec } from "../../platform/exchangeCodec.js";
import { decodeSettings, SettingsFileError } from "../../platform/settings.js";
import { decodeRecords, encodeRecord, readEndOffset } from "../../platform/storeClient.js";
import { RouteKind } from "../../src/ports/servingConfiguration.js";
import { makeConfiguration } from "./support/deployment.js";

const settingsText = `
node: "front-1"
zone: "a"
ip: "10.1.0.40"
unknown_field: { nested: true }
listen: { front: "10.1.0.40:8227", ready: "10.1.0.40:8220" }
internal_ports: [7340, 7355]
limits: { memory_mb: 350, max_fds: 4200 }
bounds:
  grace_s: 8
  drain_ms: 2000
  config_apply_ms: 2000
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_slack: 102
platform: { addr: "10.200.1.7:8223" }
`;

describe("settings file", () => {
    test("known fields are decoded and unknown fields are ignored", () => {
        const settings = decodeSettings(settingsText);
        assert.deepEqual(settings.customerAddress, { ip: "10.1.0.40", port: 8227 });
        assert.equal(settings.exchangePort, 7340);
        assert.equal(settings.graceMs, 8_000);
        assert.equal(settings.maxHoldMs, 20_000);
    });

    test("a measure whose field the limits lack has no limit", () => {
        const full = settingsText.replace("max_fds: 4200", "max_fds: 4200, cpu_share: 0.24, link_mbps: 14");
        const memory = { memoryBytes: 350 * 1024 * 1024, maxDescriptors: 4_200 };
        const none = { ...memory, isProcessorLimited: false, linkBytesPerMs: undefined };
        assert.deepEqual(decodeSettings(settingsText).hostCapacity, none);
        const all = { ...memory, isProcessorLimited: true, linkBytesPerMs: 1_750 };
        assert.deepEqual(decodeSettings(full).hostCapacity, all);
    });

    const broken: readonly [string, string, RegExp][] = [
        ["a missing field", settingsText.replace('node: "front-1"', ""), /node/],
        ["a field of the wrong type", settingsText.replace("grace_s: 8", "grace_s: soon"), /bounds\.grace_s/],
        ["an address without a port", settingsText.replace("10.1.0.40:8220", "10.1.0.40"), /not an address/],
        ["text that is not YAML", "a: [", /settings file/],
    ];
    for (const [name, text, expected] of broken) {
        test(`${name} is rejected with an error that identifies it`, () => {
            assert.throws(
                () => decodeSettings(text),
                error => error instanceof SettingsFileError && expected.test(error.message),
            );
        });
    }
});

describe("configuration decoding", () => {
    const encode = (value: unknown) => Buffer.from(JSON.stringify(value));

    test("routes, services, limits and customers are decoded", () => {
        const configuration = decodeConfiguration(encode(makeConfiguration(7)))!;
        const [draft, once, , book, open] = configuration.routes;
        assert.equal(configuration.version, 7);
        assert.equal(draft!.kind, RouteKind.Stream);
        assert.equal(draft!.gapTargetMs, 250);
        assert.ok(draft!.isResumable && !once!.isResumable);
        assert.equal(book!.maxEndpoints, 1);
        assert.ok(open!.isPublic);
        assert.equal(configuration.services.get("models")!.engine!.stepsPerPass, 10);
        assert.equal(configuration.services.get("desk")!.engine, undefined);
    });

    test("a split is decoded to its services and weights, and services of weight zero are dropped", () => {
        const split = [{ service: "a", weight: 90 }, { service: "b", weight: 0 }];
        const routes = [{ name: "r", host: "H.example", prefix: "/p/", kind: "safe", split }];
        const configuration = decodeConfiguration(encode(makeConfiguration(1, { routes })))!;
        assert.deepEqual(configuration.routes[0]!.shares, [{ service: "a", weight: 90 }]);
        assert.equal(configuration.routes[0]!.host, "h.example");
    });

    for (const text of ["", "{", "[]", '{"version":1}', "\u0000\u0001"]) {
        test(`${JSON.stringify(text)} is rejected as a configuration`, () => {
            assert.equal(decodeConfiguration(Buffer.from(text)), undefined);
        });
    }
});

describe("registration decoding", () => {
    const registration = {
        service: "models",
        addr: "10.128.0.9:8080",
        zone: "a",
        version: "v1",
        slots: 11,
        state: "ready",
        cold_left_ms: 0,
        seq: 4,
        born: 1_700_000_000_000,
    };
    const decode = (value: unknown) =>
        decodeEndpoint({ key: "i-1", value: Buffer.from(typeof value === "string" ? value : JSON.stringify(value)) });

    test("a registration gets its id from the record's key", () => {
        assert.equal(decode(registration)!.id, "i-1");
        assert.equal(decode(registration)!.startedAtMs, 1_700_000_000_000);
    });

    const malformed: readonly [string, unknown][] = [
        ["a missing service", { ...registration, service: undefined }],
        ["slots that are text", { ...registration, slots: "11" }],
        ["an unknown state", { ...registration, state: "resting" }],
        ["an invalid address", { ...registration, addr: "somewhere" }],
        ["a start time that is not an integer", { ...registration, born: 1.5 }],
        ["bytes that are not JSON", "\u0000\u00ff"],
        ["an array", [1, 2]],
    ];
    for (const [name, value] of malformed) {
        test(`a registration is rejected for ${name}`, () => {
            assert.equal(decode(value), undefined);
        });
    }
});

describe("record decoding", () => {
    test("complete records are decoded, and a truncated record is left for the next read", () => {
        const header = Buffer.alloc(16);
        const whole = [encodeRecord("a", Buffer.from("1")), encodeRecord("b", Buffer.alloc(0))];
        const cut = encodeRecord("c", Buffer.from("long value")).subarray(0, 9);
        const batch = decodeRecords(Buffer.concat([header, ...whole, cut]), { era: 3, offset: 40 });
        assert.deepEqual(batch.next, { era: 3, offset: 42 });
        assert.deepEqual(batch.records.map(record => [record.key, record.value?.toString()]), [
            ["a", "1"],
            ["b", undefined],
        ]);
    });
});

describe("end offset of the log", () => {
    test("the end offset is read, and a truncated body is not taken for a recreated log", () => {
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(7n, 0);
        assert.equal(readEndOffset(header), 7);
        assert.equal(
            readEndOffset(Buffer.alloc(3)),
            Number.POSITIVE_INFINITY,
            "a truncated body must not restart the feed",
        );
    });
});

describe("heads of requests and answers", () => {
    const head = exchangeCodec.decodeRequest([
        "X-Request-Id",
        "r1",
        "Api-Key",
        "secret",
        "X-Token-Count",
        "1460,80",
        "X-Length-Hint",
        "55",
        "X-Deadline-Ms",
        "900",
        "Connection",
        "keep-alive, X-Hop",
        "X-Hop",
        "1",
        "X-Helpers",
        "10.0.0.1:80",
        "Accept",
        "a",
        "Accept",
        "b",
    ]);

    test("the limit of requests a second that an endpoint names is a decimal number", () => {
        const decodeLimit = (text: string) => exchangeCodec.decodeAnswer(200, ["Server-Limit", text]).requestsPerSecond;
        assert.equal(decodeLimit("0.25"), 0.25);
        assert.equal(decodeLimit("12"), 12);
        assert.equal(decodeLimit("soon"), undefined);
        assert.equal(decodeLimit("-1"), undefined);
    });

    test("the last part of a prompt, which is the request's own, is not among the shared parts", () => {
        const decodeParts = (text: string) => exchangeCodec.decodeRequest(["X-Prompt-Prefix", text]).sharedPromptParts;
        assert.deepEqual(decodeParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), ["5c1e07a2", "91bd3f06"]);
        assert.deepEqual(decodeParts("e4402b7d:250"), []);
        assert.deepEqual(decodeParts("not an id:3,,e4402b7d"), []);
    });

    test("a request's head is decoded", () => {
        assert.equal(head.id, "r1");
        assert.equal(head.key, "secret");
        assert.equal(head.deadlineMs, 900);
        assert.deepEqual(head.prompt, { promptTokens: 1460, maxOutputTokens: 80, outputTokensHint: 55 });
    });

    test("hop-by-hop headers, the API key and headers that the gateway sets are not forwarded", () => {
        assert.deepEqual(head.forwarded, [
            "X-Request-Id",
            "r1",
            "X-Token-Count",
            "1460,80",
            "X-Length-Hint",
            "55",
            "Accept",
            "a",
            "Accept",
            "b",
        ]);
    });

    test("a dispatch carries its endpoint, remaining time, customer, rank and helpers", () => {
        const headers = exchangeCodec.encodeDispatch(head, {
            endpointId: "i-1",
            address: "10.0.0.9:80",
            remainingMs: 812.7,
            customer: "planner",
            rank: 12,
            helpers: [{ address: "10.0.0.2:80", reservation: "t1" }, { address: "10.0.0.3:80" }],
            host: "models.example",
        });
        const values = Object.fromEntries(
            Array.from({ length: headers.length / 2 }, (unused, index) => headers.slice(2 * index, 2 * index + 2)),
        ) as Record<string, string>;
        assert.equal(values["x-expect-instance"], "i-1");
        assert.equal(values["x-deadline-ms"], "812");
        assert.equal(values["x-tenant"], "planner");
        assert.equal(values["x-request-priority"], "9");
        assert.equal(values["x-helpers"], "10.0.0.2:80/t1,10.0.0.3:80");
    });

    const answers: readonly [string, number, string[], boolean][] = [
        ["503 with x-not-executed", 503, ["X-Not-Executed", "1"], true],
        ["503 without x-not-executed", 503, [], false],
        ["421 from another endpoint", 421, ["X-Runner-Id", "i-2"], true],
        ["400 with x-not-executed", 400, ["X-Not-Executed", "1"], true],
        ["200", 200, ["X-Response-Seal", "s"], false],
    ];
    for (const [name, status, headers, isNotRun] of answers) {
        test(`${name}: the request ${isNotRun ? "did not run" : "may have run"}`, () => {
            assert.equal(exchangeCodec.decodeAnswer(status, headers).isNotRun, isNotRun);
        });
    }
});

/** Guards against a body that ends with its connection and counts as one whose end is marked. */
test("only a length or chunks as the last transfer coding mark the end of a body", () => {
    const cases: readonly (readonly [boolean, readonly string[]])[] = [
        [true, ["Content-Length", "3"]],
        [true, ["Transfer-Encoding", "chunked"]],
        [true, ["transfer-encoding", "gzip, Chunked"]],
        [true, ["Transfer-Encoding", "gzip", "Transfer-Encoding", "chunked"]],
        [false, ["Transfer-Encoding", "gzip"]],
        [false, ["Transfer-Encoding", "identity"]],
        [false, ["Transfer-Encoding", "chunked", "Transfer-Encoding", "identity"]],
        [false, ["Connection", "close, transfer-encoding, content-length"]],
        [false, ["Trailer", "Transfer-Encoding"]],
        [false, []],
    ];
    for (const [isFramed, headers] of cases) {
        assert.equal(exchangeCodec.decodeAnswer(200, headers).isFramed, isFramed, headers.join(": "));
    }
});
