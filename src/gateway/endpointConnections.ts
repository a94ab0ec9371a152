import { Socket } from "node:net";
import { buildConnector, Dispatcher, Pool } from "undici";
import { ConnectResult, tryConnect, watchFailure } from "../adapters/connections.js";
import { RawHeaders } from "../ports/exchange.js";
import { SocketMeter } from "./socketMeter.js";

/** A request as it is sent to an endpoint. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /**
     * Whether the request is sent on a new connection. A request that must not run twice is thereby unaffected by what
     * an earlier request may have left behind, such as a late answer or a half-closed connection.
     */
    readonly isSingleUse: boolean;
}

/** Why an exchange ended without a complete answer. */
export enum SendFailureKind {
    /** No connection was established, so nothing was sent. */
    NotSent = "not-sent",
    /** The connection broke after the request may have been sent. */
    Broken = "broken",
}

/** Receives the answer to one request. */
export interface AnswerListener {
    onHead(status: number, headers: RawHeaders): void;
    onData(bytes: Buffer): void;
    onEnd(): void;
    /** Not called after `Exchange.abort`. */
    onFailure(kind: SendFailureKind, reason: string): void;
}

/** One request that has been sent. */
export interface Exchange {
    /** Whether the request may have reached the endpoint. */
    hasStarted(): boolean;
    /** Closes the connection, which makes the endpoint cancel the request. */
    abort(): void;
    pause(): void;
    resume(): void;
}

/** Pools of connections to endpoints. */
export interface EndpointConnections {
    send(address: string, request: OutgoingRequest, listener: AnswerListener): Exchange;
    /** Checks whether an address accepts a connection, which is closed at once. */
    checkConnection(address: string): Promise<boolean>;
    /** Tries to connect to an address. The connection is closed at once. */
    tryConnect(address: string): Promise<ConnectResult>;
    /** Replaces the connection pool of an address, for example because one of its connections has stalled. */
    replace(address: string): void;
    /** Closes the connections of addresses that are no longer in use. */
    keepOnly(addresses: ReadonlySet<string>): void;
    close(): Promise<void>;
}

/**
 * A connection to a live host is established within two round trips. The time-out ends before a lost SYN packet is sent
 * again, which happens after a second.
 */
const connectTimeoutMs = 400;
/** Idle connections are closed before the endpoint would usually close them, in milliseconds. */
const keepAliveTimeoutMs = 4_000;

/**
 * Bytes that a connection may receive without a head, a piece of a body or an end of an answer, before it is closed.
 * The parser sets no limit to status lines, chunk extensions and informational answers.
 */
const maxFramingBytes = 256 * 1024;

/** One connection to an endpoint. */
interface EndpointConnection {
    /** Whether it has ended with an error, such as a reset. */
    hasFailed(): boolean;
    /** Records that it has received a part of an answer. */
    recordProgress(): void;
}

/** Connection pool of one endpoint that tells resets from regular ends of a connection. */
interface ResetTrackingPool {
    readonly pool: Pool;
    /** Returns the connection whose bytes arrived last, to which the head belongs that is being parsed now. */
    getReceiving(): EndpointConnection | undefined;
}

interface EndpointPools {
    /** Pool with keep-alive connections. */
    readonly reusable: ResetTrackingPool;
    /** Pool that opens a connection for each request. */
    readonly singleUse: ResetTrackingPool;
}

/**
 * Creates the endpoint connections of one process. `onClosedByEndpoint` is called with the address when an endpoint closes
 * a connection.
 *
 * @example
 * const connections = createEndpointConnections(address => detector.recordIdleClose(address));
 * const exchange = connections.send("10.2.64.3:8080", request, listener);
 * exchange.abort();
 */
export function createEndpointConnections(
    onClosedByEndpoint: (address: string) => void = () => undefined,
    socketMeter?: Pick<SocketMeter, "add">,
): EndpointConnections {
    const pools = new Map<string, EndpointPools>();

    function getPools(address: string): EndpointPools {
        let found = pools.get(address);
        if (!found) {
            const onClosed = () => onClosedByEndpoint(address);
            // A connection for one request is always closed after its answer, which shows nothing.
            found = {
                reusable: createPool(address, 1, onClosed, socketMeter),
                singleUse: createPool(address, 0, () => undefined, socketMeter),
            };
            pools.set(address, found);
        }
        return found;
    }

    function closeGracefully({ reusable, singleUse }: EndpointPools): void {
        // Requests in progress finish. Errors of a pool that is being closed affect no request.
        reusable.pool.close().catch(() => undefined);
        singleUse.pool.close().catch(() => undefined);
    }

    function replace(address: string): void {
        const found = pools.get(address);
        if (found) {
            pools.delete(address);
            closeGracefully(found);
        }
    }

    return {
        send(address, request, listener) {
            const { reusable, singleUse } = getPools(address);
            return dispatchRequest(request.isSingleUse ? singleUse : reusable, request, listener);
        },
        checkConnection: async address => await tryConnectTo(address) === ConnectResult.Accepted,
        tryConnect: tryConnectTo,
        replace,
        keepOnly(addresses) {
            [...pools.keys()].filter(address => !addresses.has(address)).forEach(replace);
        },
        async close() {
            const all = [...pools.values()];
            pools.clear();
            await Promise.all(
                all.flatMap((
                    { reusable, singleUse },
                ) => [reusable.pool.destroy(), singleUse.pool.destroy()]),
            );
        },
    };
}

/**
 * Creates a pool that detects connection resets. When a connection is reset, undici reports an answer without a length
 * as complete, and long afterwards if the exchange was paused. The error listener added here runs before undici's own
 * listener for the same event, so that the connection is known to have failed when undici reports the end of the answer.
 * In the same way, the listener for received bytes runs before they are parsed.
 */
function createPool(
    address: string,
    pipelining: number,
    onClosedByEndpoint: () => void,
    socketMeter: Pick<SocketMeter, "add"> | undefined,
): ResetTrackingPool {
    let receiving: EndpointConnection | undefined;
    const connector = buildConnector({ timeout: connectTimeoutMs });

    function followConnection(socket: Socket): void {
        let progressAtBytes = 0;
        const connection: EndpointConnection = {
            hasFailed: watchFailure(socket),
            recordProgress() {
                progressAtBytes = socket.bytesRead;
            },
        };
        socket.once("end", onClosedByEndpoint);
        socket.on("error", onClosedByEndpoint);
        socket.on("readable", () => {
            receiving = connection;
            if (socket.bytesRead - progressAtBytes > maxFramingBytes) {
                socket.destroy(new Error(`${maxFramingBytes} bytes received that are no part of an answer`));
            }
        });
    }

    const pool = new Pool(`http://${address}`, {
        connect(options, callback) {
            const socket = connector(options, callback) as Socket | undefined;
            if (socket) {
                followConnection(socket);
                socketMeter?.add(socket);
            }
        },
        pipelining,
        keepAliveTimeout: keepAliveTimeoutMs,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    return { pool, getReceiving: () => receiving };
}

function tryConnectTo(address: string): Promise<ConnectResult> {
    const [host = "", port] = address.split(":");
    return tryConnect(host, Number(port), connectTimeoutMs);
}

function dispatchRequest(
    trackingPool: ResetTrackingPool,
    request: OutgoingRequest,
    listener: AnswerListener,
): Exchange {
    let controller: Dispatcher.DispatchController | undefined;
    let connection: EndpointConnection | undefined;
    let isAborted = false;
    trackingPool.pool.dispatch({
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body ?? null,
    }, {
        onRequestStart(started) {
            controller = started;
            if (isAborted) {
                started.abort(new Error("aborted"));
            }
        },
        onResponseStart(started, status) {
            if (status < 200) {
                return;
            }
            connection = trackingPool.getReceiving();
            connection?.recordProgress();
            if (!isAborted) {
                listener.onHead(status, decodeRawHeaders(started));
            }
        },
        onResponseData(unused, bytes) {
            connection?.recordProgress();
            if (!isAborted) {
                listener.onData(bytes);
            }
        },
        onResponseEnd() {
            if (isAborted) {
                return;
            }
            if (connection?.hasFailed()) {
                listener.onFailure(SendFailureKind.Broken, "connection reset before the answer was complete");
            }
            else {
                listener.onEnd();
            }
        },
        onResponseError(unused, error) {
            if (!isAborted) {
                listener.onFailure(controller ? SendFailureKind.Broken : SendFailureKind.NotSent, error.message);
            }
        },
    });
    return {
        hasStarted: () => controller !== undefined,
        abort() {
            isAborted = true;
            controller?.abort(new Error("aborted"));
        },
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
    };
}

function decodeRawHeaders(controller: Dispatcher.DispatchController): string[] {
    const raw = (controller as { rawHeaders?: readonly Buffer[] }).rawHeaders ?? [];
    return raw.map(part => part.toString("latin1"));
}
