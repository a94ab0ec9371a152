import { connect, Socket } from "node:net";
import { buildConnector, Dispatcher, Pool } from "undici";
import { RawHeaders } from "../ports/exchange.js";

/** A request as it goes to an endpoint. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /**
     * Whether a connection of its own carries the request. Nothing that an earlier request left behind, such as a late
     * answer or a half-closed connection, can then meet a request that must not run twice.
     */
    readonly isSingleUse: boolean;
}

/** Why an exchange ended without a whole answer. */
export enum SendFailureKind {
    /** No connection was made, so nothing was sent. */
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
    /** Closes the connection, which tells the endpoint to stop. */
    abort(): void;
    pause(): void;
    resume(): void;
}

/** Connections to endpoints, kept and reused. */
export interface EndpointConnections {
    send(address: string, request: OutgoingRequest, listener: AnswerListener): Exchange;
    /** Tells whether an address accepts a connection; it is closed at once. */
    checkConnection(address: string): Promise<boolean>;
    /** Replaces the kept connections of an address, for example because one of them was silent. */
    replace(address: string): void;
    /** Closes the connections of addresses that are no longer in use. */
    keepOnly(addresses: ReadonlySet<string>): void;
    close(): Promise<void>;
}

/** Connections to a live host take two round trips at most; a lost opening packet is sent again after a second. */
const connectTimeoutMs = 400;
/** Idle connections are closed before endpoints usually do. */
const keepAliveTimeoutMs = 4_000;

/** Connections of one kind to one endpoint. */
interface ResetTrackingPool {
    readonly pool: Pool;
    /** Whether the connection that reports something now does so because it was reset. */
    isReset(): boolean;
}

interface EndpointPools {
    readonly reusable: ResetTrackingPool;
    readonly singleUse: ResetTrackingPool;
}

/**
 * Creates the connections of one process.
 *
 * @example
 * const exchange = connections.send("10.2.64.3:8080", request, listener);
 * exchange.abort();
 */
export function createEndpointConnections(): EndpointConnections {
    const pools = new Map<string, EndpointPools>();

    function getPools(address: string): EndpointPools {
        let found = pools.get(address);
        if (!found) {
            found = { reusable: createPool(address, 1), singleUse: createPool(address, 0) };
            pools.set(address, found);
        }
        return found;
    }

    function closeGracefully({ reusable, singleUse }: EndpointPools): void {
        // Requests that are under way finish; an error of a closing connection concerns nobody.
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
        checkConnection,
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
 * Creates a pool that tells resets apart. undici takes an answer without a length for whole when its connection is reset;
 * its listener runs within the same event as the one added here, which runs first.
 */
function createPool(address: string, pipelining: number): ResetTrackingPool {
    let isResetNow = false;
    const connector = buildConnector({ timeout: connectTimeoutMs });
    const pool = new Pool(`http://${address}`, {
        connect(options, callback) {
            const socket = connector(options, callback) as Socket | undefined;
            socket?.on("error", () => {
                isResetNow = true;
                queueMicrotask(() => {
                    isResetNow = false;
                });
            });
        },
        pipelining,
        keepAliveTimeout: keepAliveTimeoutMs,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    return { pool, isReset: () => isResetNow };
}

function checkConnection(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port), timeout: connectTimeoutMs });
        const end = (isConnected: boolean) => {
            socket.destroy();
            resolve(isConnected);
        };
        socket.once("connect", () => end(true));
        socket.once("timeout", () => end(false));
        // The reason does not matter: nothing can be sent there now.
        socket.once("error", () => end(false));
    });
}

function dispatchRequest(
    trackingPool: ResetTrackingPool,
    request: OutgoingRequest,
    listener: AnswerListener,
): Exchange {
    let controller: Dispatcher.DispatchController | undefined;
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
            if (!isAborted && status >= 200) {
                listener.onHead(status, decodeRawHeaders(started));
            }
        },
        onResponseData(unused, bytes) {
            if (!isAborted) {
                listener.onData(bytes);
            }
        },
        onResponseEnd() {
            if (isAborted) {
                return;
            }
            if (trackingPool.isReset()) {
                listener.onFailure(SendFailureKind.Broken, "the connection was reset within the answer");
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
