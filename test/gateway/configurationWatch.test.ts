import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeConfiguration } from "../../platform/configurationCodec.js";
import { LogEvent } from "../../src/base/logEvents.js";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createMetrics } from "../../src/base/metrics.js";
import { createConfigurationWatch } from "../../src/gateway/configurationWatch.js";
import { createPeerNotices, PeerNotices } from "../../src/gateway/peerNotices.js";
import { makeConfiguration } from "../platform/support/deployment.js";

/** Guards against a gateway that refuses requests for longer than operators have to write again, or at any later time. */
test("an older version than that of another gateway is not applied for five seconds after the start", () => {
    const timers = createManualTimerService();
    const events: LogEvent[] = [];
    const allNotices: PeerNotices[] = [];
    const [old, starting] = ["10.1.0.1:7", "10.1.0.2:7"].map(address => {
        const log = (event: LogEvent) => void events.push(event);
        const send = (bytes: Buffer) => allNotices.forEach(other => other !== notices && other.receive(bytes, address));
        const notices = createPeerNotices({ host: address, address, incarnation: "1", log, send });
        const decode = ({ value }: { value?: Uint8Array }) => value && decodeConfiguration(value);
        const onRead = () => undefined;
        allNotices.push(notices);
        return createConfigurationWatch({ timers, log, metrics: createMetrics(), notices, decode, onRead });
    });
    const write = (version: number, changes = {}) => [
        { key: "config", value: Buffer.from(JSON.stringify(makeConfiguration(version, changes))) },
    ];
    const getVersion = () => starting!.getTable()?.version;
    old!.applyRecords(write(3), 1);
    starting!.applyRecords(write(2), 2);
    allNotices[0]!.repeat();
    assert.equal(getVersion(), 2, "the other gateway has not read the restored store yet");
    old!.applyRecords([], 2);
    allNotices[0]!.repeat();
    assert.equal(getVersion(), undefined);
    timers.advance(4_900);
    assert.equal(getVersion(), undefined);
    timers.advance(100);
    assert.equal(getVersion(), 2);
    allNotices[0]!.repeat();
    assert.equal(getVersion(), 2);
    assert.ok(!events.includes(LogEvent.ConfigurationDiffers));
    starting!.applyRecords(write(3, { tenants: [] }));
    assert.equal(getVersion(), 3);
    allNotices[0]!.repeat();
    assert.ok(events.includes(LogEvent.ConfigurationDiffers));
});
