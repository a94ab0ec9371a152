import createDebug from "debug";
import { LogEvent } from "./logEvents.js";

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one structured log line for a numbered event. */
export type EventLog = (event: LogEvent, fields?: LogFields) => void;

/**
 * Creates the log of one component. A line has the form `event=1003 name=EndpointChosen request=... `.
 *
 * @example
 * const log = createEventLog("entry");
 * log(LogEvent.EndpointChosen, { request: id, endpoint: "engine-1" });
 */
export function createEventLog(component: string): EventLog {
    const write = createDebug(`jujubelane:${component}`);
    return (event, fields = {}) => {
        if (write.enabled) {
            write(formatEvent(event, fields));
        }
    };
}

/**
 * Enables log namespaces, given in the syntax of the `debug` package (for example `jujubelane:*`).
 */
export function enableLogs(namespaces: string): void {
    createDebug.enable(namespaces);
}

/**
 * Formats one log line as `key=value` pairs. Values with characters other than letters, digits and `_.:/@+-` are
 * written as JSON strings.
 *
 * @example
 * formatEvent(LogEvent.LinkOpened, { endpoint: "engine-1" }); // "event=5001 name=LinkOpened endpoint=engine-1"
 */
export function formatEvent(event: LogEvent, fields: LogFields): string {
    const pairs = [`event=${event}`, `name=${LogEvent[event]}`];
    for (const [key, value] of Object.entries(fields)) {
        if (value !== undefined) {
            pairs.push(`${key}=${formatValue(value)}`);
        }
    }
    return pairs.join(" ");
}

function formatValue(value: string | number | boolean): string {
    if (typeof value === "number") {
        return Number.isInteger(value) ? String(value) : value.toFixed(2);
    }
    const text = String(value);
    return /^[\w.:/@+-]+$/.test(text) ? text : JSON.stringify(text);
}
