/* eslint-disable no-restricted-syntax -- random ports */
import { ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

/** A gateway in a process of its own, started with the command of the deploy file. */
export interface GatewayProcess {
    readonly port: number;
    readonly output: () => string;
    /** Resolves when the ready address has answered 200. */
    waitUntilReady(): Promise<void>;
    signal(signal: NodeJS.Signals): void;
    /** Exit code or signal once the process has ended, `undefined` while it runs. */
    getEnd(): string | undefined;
    /** Resident memory in bytes; 0 once the process has ended. */
    getMemoryBytes(): number;
    dispose(): Promise<void>;
}

/** Settings that differ between cases. */
export interface GatewayOptions {
    readonly name: string;
    readonly storeAddress: string;
    readonly memoryMb?: number;
}

const root = join(import.meta.dirname, "../../..");

/** Ports below those that the kernel gives to outgoing connections. */
const lowestPort = 20_000;
const portCount = 10_000;

function canListen(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

async function findPort(): Promise<number> {
    for (;;) {
        const port = lowestPort + Math.floor(Math.random() * portCount);
        if (await canListen(port)) {
            return port;
        }
    }
}

/** Renders settings like those of a small deployment on the page DEPLOY, with loopback addresses. */
function renderSettings({ name, storeAddress, memoryMb = 350 }: GatewayOptions, ports: readonly number[]): string {
    return `
node: "${name}"
role: "gateway"
machine_class: "front"
serves: ["front"]
ip: "127.0.0.1"
zone: "larisa"
region: "thessalia"
zones: { larisa: "thessalia", trikala: "thessalia", karditsa: "thessalia" }
listen: { front: "127.0.0.1:${ports[0]}", ready: "127.0.0.1:${ports[1]}" }
internal_ports: [${ports[2]}, ${ports[3]}]
seeds: []
bootstrap: true
fault_counted: false
limits: { cpu_share: 0.513, cores: 1, memory_mb: ${memoryMb}, max_fds: 4200, link_mbps: 1000.0, disk_mb: 0 }
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
bounds: { seed_staleness_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_ms: 4000, sync_s: 4, drain_ms: 2000,
  grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000,
  strict_revoke: false, revoke_ms: 5000, retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 102,
  recovery_s: 12, pass_ms: 120, again_s: 0, stall_ms: 1500, hold_max_ms: 20000, free_ms: 4000, idle_max_ms: 9000 }
platform: { addr: "${storeAddress}", form: "log", writes_per_s: 400, reads_per_s: 2000, parts: 12 }
`;
}

/** Starts a gateway from `target/`, which the build line of the deploy file has written. */
export async function startGateway(options: GatewayOptions): Promise<GatewayProcess> {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-review-"));
    const ports = [await findPort(), await findPort(), await findPort(), await findPort()];
    const settingsPath = join(directory, "local.yaml");
    await writeFile(settingsPath, renderSettings(options, ports));
    const [, run = ""] = /^run = "(.+)"$/mu.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))!;
    const [command = "", ...words] = run.split(" ");
    const child: ChildProcess = spawn(command, words, {
        cwd: root,
        env: {
            PATH: process.env.PATH,
            HOME: process.env.HOME,
            LANG: process.env.LANG,
            JUJUBELANE_CONFIG: settingsPath,
            JUJUBELANE_CUSTOMER_ADDRESS: `127.0.0.1:${ports[0]}`,
        },
        stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    const keep = (bytes: Buffer) => {
        output = (output + bytes.toString()).slice(-400_000);
    };
    child.stdout!.on("data", keep);
    child.stderr!.on("data", keep);
    const getEnd = () => child.signalCode ?? (child.exitCode === null ? undefined : String(child.exitCode));
    return {
        port: ports[0]!,
        output: () => output,
        async waitUntilReady() {
            for (let attempt = 0; attempt < 200; attempt++) {
                const answer = await fetch(`http://127.0.0.1:${ports[1]}/jujubelane/ready`).catch(() => undefined);
                await answer?.arrayBuffer();
                if (answer?.status === 200) {
                    return;
                }
                await sleep(50);
            }
            throw new Error(`the gateway has not become ready: ${getEnd() ?? "runs"}, ${output.slice(-500)}`);
        },
        signal: signal => void child.kill(signal),
        getEnd,
        getMemoryBytes() {
            try {
                const pages = readFileSync(`/proc/${child.pid}/status`, "utf8");
                return Number(/VmRSS:\s+(\d+)/u.exec(pages)?.[1] ?? 0) * 1024;
            }
            catch {
                return 0;
            }
        },
        async dispose() {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
            while (getEnd() === undefined) {
                await sleep(10);
            }
            await rm(directory, { recursive: true, force: true });
        },
    };
}
