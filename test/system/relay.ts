import * as net from "node:net";

/** A TCP relay between an entry and a sidecar that injects connection faults. */
export interface Relay {
    readonly port: number;
    /** Stops forwarding on the open connections without closing them. New connections work. */
    silence(): void;
    /** Forwards again on paused connections, including the bytes that arrived during the pause. */
    restore(): void;
    /** Closes the open connections; bytes not yet forwarded are lost. New connections work. */
    drop(): void;
    /** Closes the open connections and refuses new ones. */
    cut(): void;
    close(): Promise<void>;
}

/** Starts a relay to a port on the loopback interface. */
export async function startRelay(targetPort: number): Promise<Relay> {
    const pairs = new Set<readonly [net.Socket, net.Socket]>();
    let isCut = false;
    const server = net.createServer(client => {
        if (isCut) {
            client.destroy();
            return;
        }
        const target = net.connect(targetPort, "127.0.0.1");
        const pair = [client, target] as const;
        pairs.add(pair);
        for (const [from, to] of [[client, target], [target, client]] as const) {
            from.on("data", bytes => to.write(bytes));
            from.on("error", () => undefined);
            from.on("close", () => {
                pairs.delete(pair);
                to.destroy();
            });
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        port: (server.address() as net.AddressInfo).port,
        silence: () => pairs.forEach(pair => pair.forEach(socket => socket.pause())),
        restore: () => pairs.forEach(pair => pair.forEach(socket => socket.resume())),
        drop: () => pairs.forEach(pair => pair.forEach(socket => socket.destroy())),
        cut() {
            isCut = true;
            pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
        },
        close: () =>
            new Promise(resolve => {
                pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
                server.close(() => resolve());
            }),
    };
}
