/* eslint-disable no-restricted-syntax -- runs on the real clock */
import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** A gateway that runs as the deploy file starts it. */
export interface GatewayProcess {
    /** Port for customers. */
    readonly port: number;
    /** Lines that it has logged. */
    readonly lines: string[];
    readonly processId: number;
    signal(signal: NodeJS.Signals): void;
    hasExited(): boolean;
    /** Ends the process and removes its folder. */
    dispose(): Promise<void>;
}

/** Values of the settings that cases change. */
export interface GatewayOptions {
    readonly name: string;
    readonly storeAddress: string;
    /** Names of the zones; the gateway is in the first one. */
    readonly zones: readonly string[];
    /** Lines that replace those of the same key in `bounds`. */
    readonly bounds?: Readonly<Record<string, number | boolean>>;
    readonly memoryMegabytes?: number;
}

const readyTimeoutMs = 15_000;
const readyCheckMs = 50;

/** Bounds of the sheet of Kalamokopi Rota. */
const usualBounds: Readonly<Record<string, number | boolean>> = {
    seed_staleness_s: 3,
    reuse_after_s: 2,
    stable_window_ms: 3000,
    ack_ms: 4000,
    sync_s: 4,
    drain_ms: 2000,
    grace_s: 8,
    loss_slack_ms: 200,
    config_apply_ms: 2000,
    rollback_slack_ms: 250,
    max_stretch_ms: 5000,
    strict_revoke: false,
    revoke_ms: 5000,
    retry_budget_ratio: 0.2,
    retry_window_s: 10,
    retry_slack: 102,
    recovery_s: 12,
    pass_ms: 120,
    again_s: 0,
    stall_ms: 1500,
    hold_max_ms: 20000,
    free_ms: 4000,
    idle_max_ms: 9000,
};

/** Returns a port that is free now. */
export async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    await new Promise(resolve => server.close(resolve));
    if (address === null || typeof address === "string") {
        throw new Error("no port");
    }
    return address.port;
}

function renderSettings(options: GatewayOptions, [front, ready, first, second]: readonly number[]): string {
    const { zones } = options;
    const bounds = Object.entries({ ...usualBounds, ...options.bounds });
    return `node: "${options.name}"
role: "gateway"
machine_class: "front"
serves:
  - "front"
ip: "127.0.0.1"
zone: "${zones[0]}"
region: "region-1"
zones:
${zones.map(zone => `  ${zone}: "region-1"`).join("\n")}
listen:
  front: "127.0.0.1:${front}"
  ready: "127.0.0.1:${ready}"
internal_ports:
  - ${first}
  - ${second}
seeds: []
bootstrap: true
fault_counted: false
limits:
  cpu_share: 0.513
  cores: 1
  memory_mb: ${options.memoryMegabytes ?? 350}
  max_fds: 4200
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
fault_tolerance:
  machines: 1
  zones: 0
  regions: 0
bounds:
${bounds.map(([key, value]) => `  ${key}: ${value}`).join("\n")}
platform:
  addr: "${options.storeAddress}"
  form: "log"
  writes_per_s: 400
  reads_per_s: 2000
  parts: 12
  keep_s: 20
`;
}

/** Reads the arguments for Node.js from the `run` line of the deploy file. */
function readRunArguments(): string[] {
    const found = /^run = "node (.+)"$/mu.exec(readFileSync("deploy/system.toml", "utf8"));
    if (!found) {
        throw new Error("deploy/system.toml has no run line");
    }
    return found[1]!.split(" ");
}

async function isReady(port: number): Promise<boolean> {
    try {
        const answer = await fetch(`http://127.0.0.1:${port}/jujubelane/ready`, { signal: AbortSignal.timeout(500) });
        await answer.arrayBuffer();
        return answer.status === 200;
    }
    catch {
        return false;
    }
}

/** Starts a gateway from the repository root, and waits until it is ready. */
export async function startGatewayProcess(options: GatewayOptions): Promise<GatewayProcess> {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-case-"));
    const settingsPath = join(directory, "local.yaml");
    const ports = [await findFreePort(), await findFreePort(), await findFreePort(), await findFreePort()];
    await writeFile(settingsPath, renderSettings(options, ports));
    const lines: string[] = [];
    const child: ChildProcess = spawn(process.execPath, readRunArguments(), {
        env: {
            PATH: process.env.PATH,
            HOME: process.env.HOME,
            JUJUBELANE_CONFIG: settingsPath,
            JUJUBELANE_CUSTOMER_ADDRESS: `127.0.0.1:${ports[0]}`,
        },
        stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [child.stdout!, child.stderr!]) {
        stream.on("data", (bytes: Buffer) =>
            void lines.push(...bytes.toString("utf8").split("\n").filter(line => line.length > 0)));
    }
    const hasExited = () => child.exitCode !== null || child.signalCode !== null;
    const gateway: GatewayProcess = {
        port: ports[0]!,
        lines,
        processId: child.pid!,
        signal: signal => void child.kill(signal),
        hasExited,
        async dispose() {
            if (!hasExited()) {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
                await once(child, "exit");
            }
            await rm(directory, { recursive: true, force: true });
        },
    };
    const endsAtMs = performance.now() + readyTimeoutMs;
    while (!await isReady(ports[1]!)) {
        if (hasExited() || performance.now() > endsAtMs) {
            await gateway.dispose();
            throw new Error(`the gateway did not become ready: ${lines.slice(-5).join(" | ")}`);
        }
        await new Promise(resolve => setTimeout(resolve, readyCheckMs));
    }
    return gateway;
}
