import * as net from "node:net";

const connectTimeoutMs = 500;

/**
 * Creates a check whether a process accepts connections at the address of a plain service. Only a refused connection shows
 * that none does: a service that is slow or whose queue of connections is full has not ended.
 *
 * @param baseUrl root URL of the service
 *
 * @example
 * const isServiceRunning = createServiceProbe("http://127.0.0.1:9100");
 */
export function createServiceProbe(baseUrl: string): () => Promise<boolean> {
    const { hostname, port, protocol } = new URL(baseUrl);
    const host = hostname.replace(/^\[|\]$/g, "");
    const portNumber = Number(port || (protocol === "https:" ? 443 : 80));
    return () =>
        new Promise(resolve => {
            const socket = net.connect(portNumber, host);
            const finish = (isRunning: boolean) => {
                socket.destroy();
                resolve(isRunning);
            };
            socket.setTimeout(connectTimeoutMs, () => finish(true));
            socket.once("connect", () => finish(true));
            socket.once("error", (error: NodeJS.ErrnoException) => finish(error.code !== "ECONNREFUSED"));
        });
}
