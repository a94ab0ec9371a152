import { readFileSync } from "node:fs";
import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { GatewaySettings } from "./gatewaySettings.js";

/** Follows the settings file. */
export interface SettingsWatch extends Disposable {
    /** Reads the file now, for example after SIGHUP. */
    check(): void;
}

/** What following the settings file needs. */
export interface SettingsWatchOptions {
    readonly path: string;
    readonly decode: (text: string) => GatewaySettings;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly onChange: (settings: GatewaySettings) => void;
}

/** The file may also change without a signal. */
const checkIntervalMs = 2_000;

/**
 * Reads the settings file again at intervals and on demand. A file that cannot be used leaves the settings as they are.
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
