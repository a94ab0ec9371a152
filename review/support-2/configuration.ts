import { StoreStandIn } from "./storeStandIn.js";

/** Host, key and customer of all requests. */
export const hostName = "rota.example";
export const customerKey = "n2ctnfzs989anu6wsjnb";

/** A runner as its registration names it. */
export interface RunnerRegistration {
    readonly id: string;
    readonly address: string;
    readonly service: string;
    readonly zone: string;
    readonly state: "ready" | "draining";
    readonly born: number;
    readonly seq: number;
    readonly slots?: number;
}

/** Kind of a route, as the configuration names it. */
export type RouteKindName = "safe" | "unsafe" | "stream";

/** A route with one service. */
export interface RouteTerms {
    readonly name: string;
    readonly prefix: string;
    readonly kind: RouteKindName;
    readonly service: string;
    readonly timeoutMs: number;
    readonly attempts: number;
    readonly isResumable?: boolean;
    /** Latency target and longest pause between events for an answer on time; absent for usual ones. */
    readonly targetMs?: number;
    readonly gapMs?: number;
}

/** Engine of the sheet of Kalamokopi Rota. */
const engine = {
    slots: 11,
    kv_capacity: 315000,
    stride: 51,
    step_ms: 0.85,
    per_seq_ms: 0.006,
    context_per_k: 0.00285,
    read_per_s: 177000,
    pairs_per_m: 0.184,
    chunk: 2048,
    report_lag_ms: 200,
    usual: { prompt: 11108, answer: 1622 },
    hop_ms: 0.05,
};

/** Publishes a configuration, as the operator does. */
export function publishConfiguration(store: StoreStandIn, version: number, routes: readonly RouteTerms[]): void {
    const services = [...new Set(routes.map(route => route.service))];
    store.put("keyed.op", "config", {
        version,
        routes: routes.map(route => ({
            name: route.name,
            host: hostName,
            prefix: route.prefix,
            kind: route.kind,
            timeout_ms: route.timeoutMs,
            target_latency_ms: route.targetMs ?? 193,
            priority: 0,
            service: route.service,
            attempts: route.attempts,
            public: false,
            ...(route.kind === "stream" && {
                sticky: true,
                resumable: route.isResumable ?? false,
                gap_aim_ms: route.gapMs ?? 1000,
            }),
        })),
        services: services.map(name => ({
            name,
            health_path: "/health",
            max_conns: 100,
            protocol: "h1",
            tls: false,
            ...(routes.some(route => route.service === name && route.kind === "stream") && { engine }),
        })),
        limits: {
            max_header_bytes: 16384,
            max_body_bytes: 4194304,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
        },
        tenants: [{ name: "hule930", keys: [customerKey], priority: 1 }],
    });
}

/** Writes the registration of a runner, as the runner does. */
export function registerRunner(store: StoreStandIn, runner: RunnerRegistration): void {
    store.put("keyed.servers", runner.id, {
        service: runner.service,
        addr: runner.address,
        zone: runner.zone,
        version: "v1",
        slots: runner.slots ?? 6,
        state: runner.state,
        cold_left_ms: 0,
        seq: runner.seq,
        born: runner.born,
    });
}
