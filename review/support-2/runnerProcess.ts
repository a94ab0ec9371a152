import { ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { CaseRecord } from "./caseRecord.js";
import { RunnerMessage } from "./runnerMain.js";

/** A runner that runs as a process of its own, so that a signal ends it like a crash. */
export interface RunnerProcess {
    readonly id: string;
    readonly address: string;
    readonly port: number;
    /** Ids of the requests that it has begun to run, and of those whose answer it has made completely. */
    readonly running: readonly string[];
    readonly finished: readonly string[];
    /** Kills the process, and waits for its end. */
    kill(): Promise<void>;
}

export interface RunnerOptions {
    readonly id: string;
    /** Port; absent for a free one. */
    readonly port?: number;
    /** Whether answers have a length; otherwise they end with their connection. */
    readonly hasLength?: boolean;
    /** Number of pieces of each answer, their size (0 for the events of a stream), and the pause between two. */
    readonly pieces: number;
    readonly pieceBytes: number;
    readonly pauseMs: number;
}

const mainPath = fileURLToPath(new URL("./runnerMain.js", import.meta.url));

/** Starts a runner and waits until it listens. The end of the case ends it. */
export async function startRunnerProcess(options: RunnerOptions, record: CaseRecord): Promise<RunnerProcess> {
    const { id, port = 0, hasLength = false, pieces, pieceBytes, pauseMs } = options;
    const numbers = [port, Number(hasLength), pieces, pieceBytes, pauseMs];
    const child: ChildProcess = fork(mainPath, [id, ...numbers.map(String)]);
    const running: string[] = [];
    const finished: string[] = [];
    const listening = new Promise<number>((resolve, reject) => {
        child.once("exit", () => reject(new Error(`runner ${id} has ended`)));
        child.on("message", (message: RunnerMessage) => {
            if (message.kind === "listening") {
                resolve(message.port);
                return;
            }
            record.add(`${id} (process ${child.pid}) ${message.kind} ${message.requestId}`);
            (message.kind === "running" ? running : finished).push(message.requestId);
        });
    });
    const kill = async () => {
        if (child.exitCode === null && child.signalCode === null) {
            child.kill("SIGKILL");
            await once(child, "exit");
        }
    };
    record.onEnd(kill);
    const actualPort = await listening;
    return { id, address: `127.0.0.1:${actualPort}`, port: actualPort, running, finished, kill };
}
