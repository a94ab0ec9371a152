import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, Socket } from "node:net";
import { TimerService, waitFor } from "../base/timerService.js";
import { CustomerLimits } from "../ports/servingConfiguration.js";
import { createCustomerConnection, CustomerConnection, RequestHandler } from "./customerConnection.js";
import { ListenAddress } from "./gatewaySettings.js";
import { SocketMeter } from "./socketMeter.js";

/** HTTP server for customers, with support for draining. */
export interface CustomerServer {
    /** Starts to serve, on the socket of `existing` if that listens already. */
    listen(existing?: NetServer): Promise<void>;
    /** Applies the limits of a new configuration. */
    setLimits(limits: CustomerLimits): void;
    /** Asks customers to close their connections, in each answer from now on after which no request is waiting. */
    startClosing(): void;
    /** Closes idle connections now, and the others as soon as their last answer has ended. */
    closeIdleConnections(): void;
    /** Stops accepting connections, and closes idle ones. */
    stopAccepting(): void;
    /**
     * Closes idle connections, and waits until all answers have ended and the customers have closed the connections that
     * ended with them, but not longer than `timeoutMs`.
     */
    flush(timeoutMs: number): Promise<void>;
    countConnections(): number;
    countRequests(): number;
    /** Closes all connections, including those with requests in progress. */
    close(): void;
}

export interface CustomerServerOptions {
    readonly address: ListenAddress;
    readonly maxConnections: number;
    readonly timers: TimerService;
    readonly handle: RequestHandler;
    readonly socketMeter?: Pick<SocketMeter, "add">;
}

/**
 * Largest request head that the parser accepts, set before a configuration is known. The configured limit is checked
 * for each request.
 */
const maxParsedHeaderBytes = 64 * 1024;
const timeoutCheckIntervalMs = 500;
const flushCheckIntervalMs = 10;
/** Time within which a request must be received completely, in milliseconds. */
const bodyTimeoutMs = 30_000;

/**
 * Creates the server, which does not listen before `listen` is called.
 *
 * @example
 * const address = { ip: "127.0.0.1", port: 8080 };
 * const server = createCustomerServer({ address, maxConnections: 4_000, timers, handle });
 * await server.listen();
 */
export function createCustomerServer(options: CustomerServerOptions): CustomerServer {
    const { address, timers, handle } = options;
    const connections = new Map<Socket, CustomerConnection>();
    let isClosing = false;
    let mustCloseIdle = false;

    const server: Server = createServer({
        maxHeaderSize: maxParsedHeaderBytes,
        connectionsCheckingInterval: timeoutCheckIntervalMs,
        requestTimeout: bodyTimeoutMs,
    }, acceptRequest);
    server.maxConnections = options.maxConnections;
    server.on("connection", (socket: Socket) => {
        const connection = createCustomerConnection({
            socket,
            timers,
            handle,
            getIdleMs: () => server.keepAliveTimeout,
        });
        connections.set(socket, connection);
        options.socketMeter?.add(socket);
        socket.once("close", () => connections.delete(socket));
        if (isClosing) {
            connection.startClosing();
        }
    });
    // Without this listener, Node.js answers by itself and out of turn.
    server.on("checkExpectation", acceptRequest);
    server.on("timeout", (socket: Socket) => connections.get(socket)?.handleIdleTimeout());
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        const connection = connections.get(socket);
        if (connection) {
            connection.handleError(error);
        }
        else {
            socket.destroy();
        }
    });

    function acceptRequest(request: IncomingMessage, response: ServerResponse): void {
        const connection = connections.get(request.socket);
        connection?.accept(request, response);
        if (mustCloseIdle) {
            connection?.close();
        }
    }

    function closeIdleConnections(): void {
        mustCloseIdle = true;
        connections.forEach(connection => connection.close());
    }

    return {
        listen: existing =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                if (existing) {
                    // Connections that were accepted before have only waited in the kernel's queue.
                    server.listen(existing, () => resolve());
                }
                else {
                    server.listen(address.port, address.ip, () => resolve());
                }
            }),
        setLimits(limits) {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs;
        },
        startClosing() {
            isClosing = true;
            connections.forEach(connection => connection.startClosing());
        },
        closeIdleConnections,
        stopAccepting() {
            // The method of the HTTP server also destroys connections whose answers wait to be read.
            NetServer.prototype.close.call(server);
            closeIdleConnections();
        },
        async flush(timeoutMs) {
            const endsAtMs = timers.now() + timeoutMs;
            closeIdleConnections();
            while (timers.now() < endsAtMs && [...connections.values()].some(item => item.isDelivering())) {
                await waitFor(timers, Math.min(flushCheckIntervalMs, endsAtMs - timers.now()));
            }
        },
        countConnections: () => connections.size,
        countRequests: () => [...connections.values()].reduce((sum, item) => sum + item.countRequests(), 0),
        close() {
            connections.forEach(connection => connection.destroy());
            server.close();
        },
    };
}
