import { TimerService, waitFor } from "../base/timerService.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { CrashReport } from "../quarantine/crashEvidence.js";

/** Tells crashes of endpoints from broken connections. */
export interface CrashDetector {
    /**
     * Records that the connection to an endpoint broke while a request was running. `traits` is absent if the request
     * cannot have caused a crash. `sentAtMs` is when the request was sent.
     */
    recordBrokenConnection(endpoint: EndpointRecord, traits: readonly string[] | undefined, sentAtMs: number): void;
    /**
     * Records that an endpoint is unreachable, has left or has restarted. Connections that broke shortly before then
     * count as a crash.
     */
    recordEndpointLoss(endpointId: string): void;
}

export interface CrashDetectorOptions {
    readonly timers: TimerService;
    /** Checks whether an address accepts a connection. */
    readonly connect: (address: string) => Promise<boolean>;
    readonly onCrash: (report: CrashReport) => void;
}

/**
 * Time after a broken connection within which the loss of its endpoint counts as a crash. A crashed endpoint refuses
 * connections for some seconds until it has restarted.
 */
const crashDetectionWindowMs = 6_000;
/**
 * Delays of the checks whether an endpoint still accepts connections, in milliseconds. A process that ends may close its
 * connections before it stops listening.
 */
const checkDelaysMs: readonly number[] = [0, 150, 600];

interface BrokenConnections {
    readonly crash: string;
    readonly firstAtMs: number;
    readonly suspects: { readonly traits: readonly string[]; readonly sentAtMs: number }[];
}

/**
 * Creates a detector. A broken connection alone does not count as a crash, because network faults break connections
 * too: the address of the endpoint is checked at once, and does not accept connections after a crash.
 *
 * @example
 * detector.recordBrokenConnection(place.endpoint, ["part/models/5c1e", "request/x"], sentAtMs);
 */
export function createCrashDetector(options: CrashDetectorOptions): CrashDetector {
    const { timers } = options;
    const broken = new Map<string, BrokenConnections>();

    function getBroken(endpoint: EndpointRecord, nowMs: number): BrokenConnections {
        let found = broken.get(endpoint.id);
        if (!found || nowMs - found.firstAtMs > crashDetectionWindowMs) {
            const crash = `${endpoint.id}/${endpoint.startedAtMs ?? ""}`;
            found = { crash, firstAtMs: nowMs, suspects: [] };
            broken.set(endpoint.id, found);
            void checkLoss(endpoint, found);
        }
        return found;
    }

    /** Checks the endpoint until it accepts no connection. If it always does, only its connections were broken. */
    async function checkLoss(endpoint: EndpointRecord, connections: BrokenConnections): Promise<void> {
        for (const delayMs of checkDelaysMs) {
            await waitFor(timers, delayMs);
            const isReachable = await options.connect(endpoint.address);
            if (broken.get(endpoint.id) !== connections) {
                return;
            }
            if (!isReachable) {
                recordEndpointLoss(endpoint.id);
                return;
            }
        }
        broken.delete(endpoint.id);
    }

    function recordEndpointLoss(endpointId: string): void {
        const connections = broken.get(endpointId);
        broken.delete(endpointId);
        const ageMs = timers.now() - (connections?.firstAtMs ?? 0);
        if (connections && ageMs <= crashDetectionWindowMs) {
            const { crash, firstAtMs, suspects } = connections;
            options.onCrash({
                crash,
                ageMs,
                suspects: suspects.map(suspect => suspect.traits),
                runningMs: suspects.map(suspect => firstAtMs - suspect.sentAtMs),
            });
        }
    }

    return {
        recordBrokenConnection(endpoint, traits, sentAtMs) {
            const nowMs = timers.now();
            for (const [id, connections] of broken) {
                if (nowMs - connections.firstAtMs > crashDetectionWindowMs) {
                    broken.delete(id);
                }
            }
            const connections = getBroken(endpoint, nowMs);
            if (traits) {
                connections.suspects.push({ traits, sentAtMs });
            }
        },
        recordEndpointLoss,
    };
}
