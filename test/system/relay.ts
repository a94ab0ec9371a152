import * as net from "node:net";

/** A TCP relay between an entry and a sidecar that can lose track of open connections. */
export interface Relay {
    readonly port: number;
    /** Stops forwarding on the connections that are open now, without closing them. New ones work. */
    silence(): void;
    /** Forwards what the silenced connections received in the meantime, late. */
    restore(): void;
    /** Closes the open connections; what they have not forwarded is lost. New ones work. */
    drop(): void;
    /** Refuses new connections and cuts the open ones. */
    cut(): void;
    close(): Promise<void>;
}

/** Starts a relay to a port on loopback. */
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
