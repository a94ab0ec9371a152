import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Port numbers of one gateway. */
export interface GatewayPorts {
    readonly customers: number;
    readonly ready: number;
    readonly exchange: number;
    readonly metrics: number;
}

/** A gateway in a separate process that a test can signal, kill and restart. */
export interface GatewayProcess {
    readonly name: string;
    readonly url: string;
    /** The latest lines of standard output and standard error. */
    readonly output: string[];
    start(): void;
    signal(signal: NodeJS.Signals): void;
    /** Waits until the process has exited; returns its exit code, or the signal that ended it. */
    waitForExit(): Promise<number | string>;
    isRunning(): boolean;
    /** Returns the id of the process, or `undefined` before the first start. */
    getProcessId(): number | undefined;
    /** Whether the process has written output: the runtime has loaded the program. */
    hasStarted(): boolean;
    isReady(): Promise<boolean>;
    dispose(): Promise<void>;
}

const mainPath = fileURLToPath(new URL("../../platform/main.js", import.meta.url));
const maxOutputLines = 4_000;
const defaultGraceSeconds = 3;
const readyCheckMs = 50;

function renderSettings(name: string, ports: GatewayPorts, storeAddress: string, graceSeconds: number): string {
    return `
node: "${name}"
zone: "a"
ip: "127.0.0.1"
listen: { front: "127.0.0.1:${ports.customers}", ready: "127.0.0.1:${ports.ready}" }
internal_ports: [${ports.exchange}, ${ports.metrics}]
limits: { memory_mb: 300, max_fds: 1000 }
bounds:
  grace_s: ${graceSeconds}
  drain_ms: 1500
  config_apply_ms: 1500
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_slack: 100
platform: { addr: "${storeAddress}" }
`;
}

/** Writes the settings of a gateway, which `start` then starts. `command` holds the arguments for Node.js. */
export async function createGatewayProcess(
    name: string,
    ports: GatewayPorts,
    storeAddress: string,
    command: readonly string[] = [mainPath],
    graceSeconds = defaultGraceSeconds,
): Promise<GatewayProcess> {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-soak-"));
    const settingsPath = join(directory, "local.yaml");
    await writeFile(settingsPath, renderSettings(name, ports, storeAddress, graceSeconds));
    const output: string[] = [];
    let child: ChildProcess | undefined;
    let hasOutput = false;

    function record(bytes: Buffer): void {
        hasOutput = true;
        output.push(...bytes.toString("utf8").split("\n").filter(line => line.length > 0));
        output.splice(0, Math.max(0, output.length - maxOutputLines));
    }

    const isRunning = () => child !== undefined && child.exitCode === null && child.signalCode === null;
    const waitForExit = async () => {
        if (child && isRunning()) {
            await once(child, "exit");
        }
        return child?.signalCode ?? child?.exitCode ?? 0;
    };
    return {
        name,
        url: `http://127.0.0.1:${ports.customers}`,
        output,
        start() {
            hasOutput = false;
            child = spawn(process.execPath, command, {
                env: {
                    ...process.env,
                    JUJUBELANE_CONFIG: settingsPath,
                    JUJUBELANE_CUSTOMER_ADDRESS: `127.0.0.1:${ports.customers}`,
                },
                stdio: ["ignore", "pipe", "pipe"],
            });
            child.stdout!.on("data", record);
            child.stderr!.on("data", record);
        },
        signal: signal => void child?.kill(signal),
        waitForExit,
        isRunning,
        getProcessId: () => child?.pid,
        hasStarted: () => isRunning() && hasOutput,
        async isReady() {
            try {
                const answer = await fetch(`http://127.0.0.1:${ports.ready}/`, { signal: AbortSignal.timeout(500) });
                await answer.arrayBuffer();
                return answer.status === 200;
            }
            catch {
                return false;
            }
        },
        async dispose() {
            child?.kill("SIGCONT");
            child?.kill("SIGKILL");
            await waitForExit();
            await rm(directory, { recursive: true, force: true });
        },
    };
}

/** Options of several gateways that use one store. */
export interface GatewayProcessOptions {
    /** Four ports for each gateway. */
    readonly ports: readonly number[];
    readonly storeAddress: string;
    /** Arguments for Node.js; absent: the gateway of this build. */
    readonly command?: readonly string[];
    readonly graceSeconds?: number;
}

const portsPerGateway = 4;

/** Starts as many gateways as there are ports for. They are not ready yet. */
export function startGatewayProcesses(options: GatewayProcessOptions): Promise<GatewayProcess[]> {
    const { ports, storeAddress, command, graceSeconds } = options;
    return Promise.all(Array.from({ length: ports.length / portsPerGateway }, async (unused, index) => {
        const [customers, ready, exchange, metrics] = ports.slice(portsPerGateway * index) as [
            number,
            number,
            number,
            number,
        ];
        const own = { customers, ready, exchange, metrics };
        const gateway = await createGatewayProcess(`gateway-${index}`, own, storeAddress, command, graceSeconds);
        gateway.start();
        return gateway;
    }));
}

/** Waits until all gateways are ready. Returns false if some are not after `timeoutMs`. */
export async function waitUntilReady(gateways: readonly GatewayProcess[], timeoutMs: number): Promise<boolean> {
    const endsAtMs = performance.now() + timeoutMs;
    while (!(await Promise.all(gateways.map(gateway => gateway.isReady()))).every(Boolean)) {
        if (performance.now() > endsAtMs) {
            return false;
        }
        await new Promise(resolve => setTimeout(resolve, readyCheckMs));
    }
    return true;
}
