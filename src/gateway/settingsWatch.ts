import { readFileSync } from "node:fs";
import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { GatewaySettings } from "./gatewaySettings.js";

/** Watches the settings file for changes. */
export interface SettingsWatch extends Disposable {
    /** Reads the file now, for example on SIGHUP. */
    check(): void;
}

export interface SettingsWatchOptions {
    readonly path: string;
    readonly decode: (text: string) => GatewaySettings;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly onChange: (settings: GatewaySettings) => void;
}

/** Interval at which the file is read, because it may change without a signal. */
const checkIntervalMs = 2_000;

/**
 * Reads the settings file at intervals and on demand. If the file is unreadable or invalid, the last settings stay in
 * force.
 *
 * @example
 * const watch = watchSettings({ path, decode, timers, log, onChange });
 * process.on("SIGHUP", watch.check);
 */
export function watchSettings(options: SettingsWatchOptions): SettingsWatch {
    let lastText = readFileSync(options.path, "utf8");

    function check(): void {
        try {
            const text = readFileSync(options.path, "utf8");
            if (text === lastText) {
                return;
            }
            lastText = text;
            options.onChange(options.decode(text));
            options.log(LogEvent.SettingsReloaded, { path: options.path });
        }
        catch (error) {
            options.log(LogEvent.SettingsRefused, { path: options.path, reason: String(error) });
        }
    }

    const checks = options.timers.subscribe(checkIntervalMs, check);
    return { check, dispose: () => checks.dispose() };
}
