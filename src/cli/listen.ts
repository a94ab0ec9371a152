import * as http from "node:http";
import * as net from "node:net";

/** Starts listening and returns the port. */
export function listen(server: net.Server | http.Server, port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.off("error", reject);
            resolve((server.address() as net.AddressInfo).port);
        });
    });
}

/** Stops accepting connections and closes idle ones; resolves when all have ended or after `timeoutMs`. */
export function closeServer(server: http.Server, timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
        const timeoutSignal = AbortSignal.timeout(timeoutMs);
        timeoutSignal.addEventListener("abort", () => {
            server.closeAllConnections();
            resolve();
        });
    });
}
