import { AddressInfo, connect, createServer, Socket } from "node:net";

/** Fault that a proxy injects into all of its connections. */
export enum ProxyFault {
    None = "none",
    /** Forwards bytes after a delay. */
    Delay = "delay",
    /** Discards the bytes sent to the server. */
    CutForward = "cut-forward",
    /** Discards the bytes sent to the client. */
    CutBackward = "cut-backward",
}

/** A TCP proxy on the loopback interface between the processes under test and one external system. */
export interface FaultyProxy {
    readonly address: string;
    setFault(fault: ProxyFault): void;
    /** Resets the open connections. */
    resetConnections(): void;
    /** Discards all further bytes of the open connections without closing them. New connections work. */
    blackholeConnections(): void;
    close(): Promise<void>;
}

const delayMs = 120;

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

interface ConnectionPair {
    readonly client: Socket;
    readonly server: Socket;
    isSilent: boolean;
}

/** Starts a proxy to a port on the loopback interface; it listens on a free port. */
export async function startFaultyProxy(targetPort: number): Promise<FaultyProxy> {
    const pairs = new Set<ConnectionPair>();
    let fault = ProxyFault.None;

    function forward(pair: ConnectionPair, from: Socket, to: Socket, blocking: ProxyFault): void {
        // Delayed bytes and the end of the connection are forwarded in order, as TCP does.
        let last = Promise.resolve();
        from.on("data", bytes => {
            if (pair.isSilent || fault === blocking) {
                // TCP never delivers bytes after a gap, so a connection that has lost bytes forwards nothing more.
                pair.isSilent = true;
                return;
            }
            const isDelayed = fault === ProxyFault.Delay;
            last = last.then(() => isDelayed ? wait(delayMs) : undefined).then(() => {
                to.write(bytes);
            });
        });
        from.on("error", () => undefined);
        from.on("close", () => {
            pairs.delete(pair);
            // The peer of a broken connection must see a reset, not a regular end.
            const isBroken = from.errored !== null || pair.isSilent;
            void last.then(() => isBroken ? to.resetAndDestroy() : to.end());
        });
    }

    const listener = createServer(client => {
        const server = connect(targetPort, "127.0.0.1");
        const pair = { client, server, isSilent: false };
        pairs.add(pair);
        forward(pair, client, server, ProxyFault.CutForward);
        forward(pair, server, client, ProxyFault.CutBackward);
    });
    await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
        setFault(next) {
            fault = next;
        },
        resetConnections: () =>
            pairs.forEach(pair => {
                pair.client.resetAndDestroy();
                pair.server.resetAndDestroy();
            }),
        blackholeConnections: () =>
            pairs.forEach(pair => {
                pair.isSilent = true;
            }),
        close: () =>
            new Promise(resolve => {
                pairs.forEach(pair => {
                    pair.client.destroy();
                    pair.server.destroy();
                });
                listener.close(() => resolve());
            }),
    };
}
