import { createServer, IncomingMessage, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";

/** One request that has reached a runner. */
export interface Arrival {
    readonly id: string;
    readonly path: string;
    readonly atMs: number;
    readonly bodyBytes: number;
}

/** A stand-in for a runner. */
export interface Runner {
    readonly id: string;
    readonly address: string;
    readonly arrivals: Arrival[];
    close(): void;
}

/** Answers a request that the runner has begun to run. */
export type RunHandler = (request: IncomingMessage, response: ServerResponse, headers: Record<string, string>) => void;

/** Starts a runner, which answers 421 to requests that are meant for another one. */
export async function startRunner(id: string, run: RunHandler): Promise<Runner> {
    const arrivals: Arrival[] = [];
    const server = createServer((request, response) => {
        let bodyBytes = 0;
        request.on("data", (chunk: Buffer) => {
            bodyBytes += chunk.length;
        });
        request.on("end", () => {
            if (request.url === "/health") {
                response.writeHead(200, { "x-runner-id": id }).end();
                return;
            }
            if (request.url === "/jujubelane/order") {
                response.writeHead(200, { "content-type": "application/json" }).end('{"available":100000}');
                return;
            }
            const requestId = String(request.headers["x-request-id"]);
            if (request.headers["x-expect-instance"] !== id) {
                response.writeHead(421, { "x-request-id": requestId, "x-runner-id": id }).end();
                return;
            }
            arrivals.push({ id: requestId, path: request.url ?? "", atMs: performance.now(), bodyBytes });
            run(request, response, { "x-request-id": requestId, "x-response-seal": `3e1b.${requestId}` });
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        id,
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        arrivals,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}
