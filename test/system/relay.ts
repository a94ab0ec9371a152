import * as net from "node:net";

/** A TCP relay between an entry and a sidecar that injects connection faults. */
export interface Relay {
    readonly port: number;
    /** Stops forwarding on the open connections without closing them. New connections work. */
    pauseConnections(): void;
    /** Forwards again on paused connections, including the bytes that arrived during the pause. */
    resumeConnections(): void;
    /** Closes the open connections; bytes not yet forwarded are lost. New connections work. */
    dropConnections(): void;
    /** Closes the open connections and refuses new ones. */
    disconnect(): void;
    close(): Promise<void>;
}

/** Starts a relay to a port on the loopback interface. */
export async function startRelay(targetPort: number): Promise<Relay> {
    const pairs = new Set<readonly [net.Socket, net.Socket]>();
    let isDisconnected = false;
    const server = net.createServer(client => {
        if (isDisconnected) {
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
        pauseConnections: () => pairs.forEach(pair => pair.forEach(socket => socket.pause())),
        resumeConnections: () => pairs.forEach(pair => pair.forEach(socket => socket.resume())),
        dropConnections: () => pairs.forEach(pair => pair.forEach(socket => socket.destroy())),
        disconnect() {
            isDisconnected = true;
            pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
        },
        close: () =>
            new Promise(resolve => {
                pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
                server.close(() => resolve());
            }),
    };
}
