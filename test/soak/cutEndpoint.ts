import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { readBody, RunningServer, startHttpServer } from "../../src/emulator/httpServer.js";

/** How an answer tells its length. */
export enum Framing {
    Length = "length",
    Chunks = "chunks",
    /** Not at all: it ends with its connection. */
    None = "none",
}

/** How the endpoint ends an answer. */
export enum Ending {
    Whole = "whole",
    /** The connection is reset halfway. */
    Reset = "reset",
    /** The connection is closed in order within a piece halfway. */
    WithinPiece = "within-piece",
    /** The endpoint's process ends halfway; its system closes all connections in order. It is back under another id. */
    Crash = "crash",
}

/** What an endpoint sends for one request. */
export interface AnswerPlan {
    readonly framing: Framing;
    readonly ending: Ending;
    readonly contentType: string;
    /** Pieces of the whole body. */
    readonly pieces: readonly string[];
    readonly pauseMs: number;
}

/** A request that an endpoint has begun to run. */
export interface CutRun {
    readonly requestId: string;
    readonly ending: Ending;
    readonly atMs: number;
}

/** An endpoint whose answers end as planned. */
export interface CutEndpoint {
    readonly id: string;
    readonly address: string;
    readonly runs: readonly CutRun[];
    /** Times at which its process has ended, in milliseconds since this process started. */
    readonly crashesAtMs: readonly number[];
    close(): Promise<void>;
}

export interface CutEndpointOptions {
    readonly id: string;
    readonly planAnswer: (requestId: string) => AnswerPlan;
    /** Called when the endpoint has ended, and when it is back under another id. */
    readonly onCrashed: (previousId: string) => void;
    readonly onRestarted: (endpoint: CutEndpoint) => void;
}

const restartMs = 500;

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Starts an endpoint on a free loopback port. */
export async function startCutEndpoint(options: CutEndpointOptions): Promise<CutEndpoint> {
    const runs: CutRun[] = [];
    const crashesAtMs: number[] = [];
    const sockets = new Set<Socket>();
    let { id } = options;
    let isClosed = false;
    let isRunning = true;

    async function closeServer(): Promise<void> {
        const closed = server.close();
        sockets.forEach(socket => socket.destroy());
        await closed;
    }

    async function crash(): Promise<void> {
        if (!isRunning || isClosed) {
            return;
        }
        isRunning = false;
        crashesAtMs.push(performance.now());
        await closeServer();
        options.onCrashed(id);
        await wait(restartMs);
        if (!isClosed) {
            id = `${options.id}.${crashesAtMs.length}`;
            server = await start(server.port);
            isRunning = true;
            options.onRestarted(endpoint);
        }
    }

    /** Sends the pieces. Returns false if the caller has closed the connection. */
    async function sendPieces(socket: Socket, write: (piece: string) => boolean, plan: AnswerPlan): Promise<boolean> {
        const count = plan.ending === Ending.Whole ? plan.pieces.length : Math.ceil(plan.pieces.length / 2);
        for (const piece of plan.pieces.slice(0, count)) {
            if (socket.destroyed) {
                return false;
            }
            if (!write(piece)) {
                await Promise.race([new Promise(resolve => socket.once("drain", resolve)), wait(1_000)]);
            }
            await wait(plan.pauseMs);
        }
        return !socket.destroyed;
    }

    async function cutOff(socket: Socket, write: (piece: string) => boolean, plan: AnswerPlan): Promise<void> {
        switch (plan.ending) {
            case Ending.Reset:
                socket.resetAndDestroy();
                return;
            case Ending.WithinPiece:
                write(plan.pieces.at(-1)!.slice(0, 3));
                socket.destroySoon();
                return;
            default:
                await crash();
        }
    }

    async function answer(socket: Socket, response: ServerResponse, requestId: string): Promise<void> {
        const plan = options.planAnswer(requestId);
        const { framing, contentType, pieces } = plan;
        runs.push({ requestId, ending: plan.ending, atMs: performance.now() });
        const headers: Record<string, string> = {
            "x-request-id": requestId,
            "x-response-seal": `seal-${id}`,
            "content-type": contentType,
        };
        if (framing === Framing.None) {
            const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
            socket.write(`HTTP/1.1 200 OK\r\n${lines}Connection: close\r\n\r\n`);
            const write = (piece: string) => socket.write(piece);
            if (await sendPieces(socket, write, plan)) {
                await (plan.ending === Ending.Whole ? socket.end() : cutOff(socket, write, plan));
            }
            return;
        }
        const length = String(pieces.reduce((sum, piece) => sum + piece.length, 0));
        response.writeHead(200, framing === Framing.Length ? { ...headers, "content-length": length } : headers);
        const write = (piece: string) => response.write(piece);
        if (await sendPieces(socket, write, plan)) {
            await (plan.ending === Ending.Whole ? response.end() : cutOff(socket, write, plan));
        }
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        await readBody(request);
        if (request.url === "/jujubelane/order") {
            response.writeHead(200, { "content-type": "application/json" }).end('{"available":1}');
        }
        else if (request.headers["x-expect-instance"] !== id) {
            response.writeHead(421, { "x-runner-id": id }).end();
        }
        else {
            await answer(request.socket, response, String(request.headers["x-request-id"]));
        }
    }

    function start(port: number): Promise<RunningServer> {
        return startHttpServer(port, handle, socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => sockets.delete(socket));
        });
    }

    let server = await start(0);
    const endpoint: CutEndpoint = {
        get id() {
            return id;
        },
        address: `127.0.0.1:${server.port}`,
        runs,
        crashesAtMs,
        async close() {
            isClosed = true;
            await (isRunning ? closeServer() : undefined);
        },
    };
    return endpoint;
}
