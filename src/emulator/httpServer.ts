import * as http from "node:http";
import { AddressInfo, Socket } from "node:net";

/** A running HTTP server of an emulator. */
export interface RunningServer {
    readonly port: number;
    readonly url: string;
    /** Refuses new connections; existing ones stay open while in use. */
    stopAccepting(): void;
    close(): Promise<void>;
}

/**
 * Starts an HTTP server on loopback. Port 0 takes a free one.
 *
 * @param handleConnection called with each connection that is accepted
 *
 * @example
 * const server = await startHttpServer(0, (request, response) => response.end("ok"));
 */
export async function startHttpServer(
    port: number,
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
    handleConnection: (socket: Socket) => void = () => undefined,
): Promise<RunningServer> {
    const server = http.createServer((request, response) => {
        handle(request, response).catch((error: unknown) => {
            if (!response.headersSent) {
                sendJson(response, 500, { error: String(error) });
            }
            else {
                response.destroy();
            }
        });
    });
    server.on("connection", handleConnection);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    const address = server.address() as AddressInfo;
    return {
        port: address.port,
        url: `http://127.0.0.1:${address.port}`,
        stopAccepting: () => void server.close(),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

/** Reads a complete request body. */
export async function readBody(request: http.IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts);
}

/** Reads a request body as JSON. */
export async function readJson<Body>(request: http.IncomingMessage): Promise<Body> {
    return JSON.parse((await readBody(request)).toString("utf8")) as Body;
}

/** Sends a JSON answer. */
export function sendJson(response: http.ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value ?? null);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
}
