export const host = "models.example";
export const key = "n2ctnfzs989anu6wsjnb";

/** Makes a small configuration: a safe, an unsafe and two stream routes. */
export function makeConfiguration(version = 1, changes: object = {}): object {
    const common = { host, public: false };
    const plain = { ...common, service: "desk", priority: 1 };
    const stream = { ...common, kind: "stream", service: "models", attempts: 2, sticky: true, priority: 0 };
    return {
        version,
        routes: [
            { ...plain, name: "look", prefix: "/look/", kind: "safe", attempts: 2, timeout_ms: 10_000, target_latency_ms: 200 },
            { ...plain, name: "book", prefix: "/book/", kind: "unsafe", attempts: 1, timeout_ms: 10_000, target_latency_ms: 200 },
            {
                ...stream,
                name: "draft",
                prefix: "/draft/",
                timeout_ms: 10_000,
                target_latency_ms: 250,
                gap_aim_ms: 250,
                resumable: true,
            },
        ],
        services: [
            { name: "desk", health_path: "/health", max_conns: 100 },
            {
                name: "models",
                health_path: "/health",
                max_conns: 400,
                engine: {
                    slots: 11,
                    kv_capacity: 315_000,
                    stride: 10,
                    step_ms: 0.85,
                    per_seq_ms: 0.01,
                    context_per_k: 0.002,
                    read_per_s: 177_000,
                    pairs_per_m: 0.01,
                    chunk: 2048,
                    usual: { prompt: 5_000, answer: 1_000 },
                },
            },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 10_000 },
        tenants: [{ name: "hule930", keys: [key] }],
        ...changes,
    };
}

/** Makes the registration of a runner. */
export function makeRegistration(service: string, address: string, changes: object = {}): object {
    return {
        service,
        addr: address,
        zone: "larisa",
        version: "1",
        slots: service === "models" ? 11 : 6,
        state: "ready",
        cold_left_ms: 0,
        seq: 1,
        born: 1_700_000_000_000,
        ...changes,
    };
}
