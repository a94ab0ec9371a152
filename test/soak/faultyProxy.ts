import { AddressInfo, connect, createServer, Socket } from "node:net";

/** What a proxy does to connections. */
export enum ProxyFault {
    None = "none",
    /** Passes bytes on after a delay. */
    Delay = "delay",
    /** Passes nothing on towards the server. */
    CutForward = "cut-forward",
    /** Passes nothing on towards the client. */
    CutBackward = "cut-backward",
}

/** A TCP proxy on loopback between the programs under test and one outside system. */
export interface FaultyProxy {
    readonly address: string;
    setFault(fault: ProxyFault): void;
    /** Resets the connections that are open now. */
    reset(): void;
    /** Makes the connections that are open now silent for good; new ones work. */
    silence(): void;
    close(): Promise<void>;
}

const delayMs = 120;

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

interface Pair {
    readonly client: Socket;
    readonly server: Socket;
    isSilent: boolean;
}

/** Starts a proxy to an address; it listens on a free port. */
export async function startFaultyProxy(targetPort: number): Promise<FaultyProxy> {
    const pairs = new Set<Pair>();
    let fault = ProxyFault.None;

    function pass(pair: Pair, from: Socket, to: Socket, blocking: ProxyFault): void {
        // Delayed bytes and the end stay in their order, as on a real connection.
        let last = Promise.resolve();
        from.on("data", bytes => {
            if (pair.isSilent || fault === blocking) {
                // Bytes after a gap must not arrive, so that the connection stays silent from here on.
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
            // A connection that broke must not look like one that ended.
            const isBroken = from.errored !== null || pair.isSilent;
            void last.then(() => isBroken ? to.resetAndDestroy() : to.end());
        });
    }

    const listener = createServer(client => {
        const server = connect(targetPort, "127.0.0.1");
        const pair = { client, server, isSilent: false };
        pairs.add(pair);
        pass(pair, client, server, ProxyFault.CutForward);
        pass(pair, server, client, ProxyFault.CutBackward);
    });
    await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
        setFault(next) {
            fault = next;
        },
        reset: () =>
            pairs.forEach(pair => {
                pair.client.resetAndDestroy();
                pair.server.resetAndDestroy();
            }),
        silence: () =>
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
