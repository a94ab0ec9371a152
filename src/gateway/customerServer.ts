import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { CustomerLimits } from "../ports/servingConfiguration.js";
import { ListenAddress } from "./gatewaySettings.js";

/** HTTP server for customers that can be drained. */
export interface CustomerServer {
    listen(): Promise<void>;
    /** Applies the limits of a new configuration. */
    setLimits(limits: CustomerLimits): void;
    /** From now on answers ask customers to close their connections. */
    startDraining(): void;
    isDraining(): boolean;
    /** Takes no new connections and closes idle ones. */
    stopAccepting(): void;
    countConnections(): number;
    countRequests(): number;
    /** Breaks off what is left. */
    close(): void;
}

/** Receives whole heads of requests. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Largest head that is read before the configuration is known; its own limit is checked for each request. */
const maxParsedHeaderBytes = 64 * 1024;
const timeoutCheckIntervalMs = 500;
/** A body takes at most this long after its head, in milliseconds. */
const bodyTimeoutMs = 30_000;
/** Margin of the idle time over what customers are told, so that no request crosses the close of its connection. */
const idleTimeoutMarginMs = 2_000;

/**
 * Creates the server; it listens after `listen`.
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
    let hasStopped = false;

    const server: Server = createServer({
        maxHeaderSize: maxParsedHeaderBytes,
        connectionsCheckingInterval: timeoutCheckIntervalMs,
        requestTimeout: bodyTimeoutMs,
    }, (request, response) => {
        const { socket } = request;
        activeSockets.add(socket);
        response.once("close", () => {
            activeSockets.delete(socket);
            if (hasStopped) {
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
            hasStopped = true;
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
