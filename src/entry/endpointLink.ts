import { Disposable } from "../base/disposable.js";
import { ConfigurationMessage, CrashReportMessage, DispatchMessage, EntryMessage } from "../link/messages.js";
import { LoadReport } from "../routing/loadReport.js";
import { DispatchedPrompt } from "../routing/routing.js";
import { AttemptListener } from "./attempt.js";

/** Settings of the entry's end of links. */
export interface EndpointLinkSettings {
    readonly entry: string;
    readonly incarnation: string;
    readonly dataCentre: string;
    readonly linkKey: string;
    readonly heartbeatIntervalMs: number;
    readonly maxFrameBytes: number;
    /** Time that a request waits for its lost link to reopen, in milliseconds. */
    readonly resumeGraceMs: number;
}

/** State of a link. */
export enum LinkState {
    Connecting = "connecting",
    Open = "open",
    Closed = "closed",
}

/** Receives the events of a link that do not belong to an attempt. */
export interface EndpointLinkListener {
    handleOpened(link: EndpointLink): void;
    handleConfiguration(message: ConfigurationMessage): void;
    handleCrashReport(link: EndpointLink, message: CrashReportMessage): void;
}

/** The entry's link to the sidecar of one endpoint. */
export interface EndpointLink extends Disposable {
    /** Name of the endpoint in the configuration. */
    readonly endpoint: string;
    getState(): LinkState;
    isLeaving(): boolean;
    /** Generation of the configuration in force at the sidecar; -1 for none. */
    getGeneration(): number;
    getLoad(): LoadReport | undefined;
    getLoadAgeMs(): number;
    /** Estimated one-way latency, measured when the link opened, in milliseconds. */
    getLatencyMs(): number;
    getOutstanding(): { readonly requests: number; readonly dispatched: readonly DispatchedPrompt[] };
    getTraffic(): { readonly sentBytes: number; readonly receivedBytes: number };
    /**
     * Sends a request to the sidecar.
     *
     * @param isRestartable whether the request can currently be restarted at another endpoint; if so, it waits
     *     only briefly for a lost link to reopen
     */
    dispatch(
        dispatch: Omit<DispatchMessage, "type" | "incarnation">,
        listener: AttemptListener,
        isRestartable?: () => boolean,
    ): void;
    /** Asks the sidecar to stop an attempt; the attempt then fails with the sidecar's verdict. */
    cancel(request: string): void;
    send(message: EntryMessage): void;
}
