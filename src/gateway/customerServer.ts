import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { CustomerLimits } from "../ports/servingConfiguration.js";
import { ListenAddress } from "./gatewaySettings.js";

/** HTTP server for customers, with support for draining. */
export interface CustomerServer {
    listen(): Promise<void>;
    /** Applies the limits of a new configuration. */
    setLimits(limits: CustomerLimits): void;
    /** Makes all further answers ask customers to close their connections. */
    startDraining(): void;
    isDraining(): boolean;
    /** Stops accepting connections and closes idle ones. */
    stopAccepting(): void;
    countConnections(): number;
    countRequests(): number;
    /** Closes all connections, including those with requests in progress. */
    close(): void;
}

/** Called as soon as the head of a request was received. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/**
 * Largest request head that the parser accepts, set before a configuration is known. The configured limit is checked
 * for each request.
 */
const maxParsedHeaderBytes = 64 * 1024;
const timeoutCheckIntervalMs = 500;
/** Time within which a request must be received completely, in milliseconds. */
const bodyTimeoutMs = 30_000;
/**
 * Time for which idle connections stay open beyond the time-out that customers are told, so that the server does not
 * close a connection on which a request is arriving.
 */
const idleTimeoutMarginMs = 2_000;

/**
 * Creates the server, which does not listen before `listen` is called.
 *
 * @example
 * const server = createCustomerServer({ ip: "127.0.0.1", port: 8080 }, 4_000, handle);
 * await server.listen();
 */
export function createCustomerServer(
    address: ListenAddress,
    maxConnections: number,
    handle: RequestHandler,
): CustomerServer {
    const connections = new Set<Socket>();
    const activeSockets = new Set<Socket>();
    let isDraining = false;
    let isStopped = false;

    const server: Server = createServer({
        maxHeaderSize: maxParsedHeaderBytes,
        connectionsCheckingInterval: timeoutCheckIntervalMs,
        requestTimeout: bodyTimeoutMs,
    }, (request, response) => {
        const { socket } = request;
        activeSockets.add(socket);
        response.once("close", () => {
            activeSockets.delete(socket);
            if (isStopped) {
                socket.end();
            }
        });
        handle(request, response);
    });
    server.maxConnections = maxConnections;
    server.on("connection", (socket: Socket) => {
        connections.add(socket);
        socket.once("close", () => connections.delete(socket));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        if (socket.writable && error.code !== "ECONNRESET") {
            const status = error.code === "HPE_HEADER_OVERFLOW"
                ? "431 Request Header Fields Too Large"
                : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
                ? "408 Request Timeout"
                : "400 Bad Request";
            socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
        }
        else {
            socket.destroy();
        }
    });

    return {
        listen: () =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen(address.port, address.ip, () => resolve());
            }),
        setLimits(limits) {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs + idleTimeoutMarginMs;
        },
        startDraining() {
            isDraining = true;
        },
        isDraining: () => isDraining,
        stopAccepting() {
            isStopped = true;
            server.close();
            [...connections].filter(socket => !activeSockets.has(socket)).forEach(socket => socket.end());
        },
        countConnections: () => connections.size,
        countRequests: () => activeSockets.size,
        close() {
            server.close();
            connections.forEach(socket => socket.destroy());
        },
    };
}
