import { createServer } from "node:http";
import { Disposable, DisposableStore } from "../base/disposable.js";
import { GatewaySettings, ListenAddress } from "./gatewaySettings.js";

/** Answer of a text server. */
export interface TextAnswer {
    readonly status: number;
    readonly text: string;
}

/**
 * Starts an HTTP server that answers every path with the rendered text. Rejects if it cannot listen on the address.
 *
 * @example
 * await serveText(settings.readyAddress, () => ({ status: isReady() ? 200 : 503, text: "" }), disposables);
 */
export function serveText(
    address: ListenAddress,
    render: () => TextAnswer,
    disposables: DisposableStore,
): Promise<void> {
    const server = createServer((request, response) => {
        request.resume();
        const { status, text } = render();
        response.writeHead(status, { "Content-Type": "text/plain", "Content-Length": Buffer.byteLength(text) });
        response.end(text);
    });
    const closing: Disposable = {
        dispose() {
            server.close();
            server.closeAllConnections();
        },
    };
    disposables.register(closing);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.ip, () => resolve());
    });
}

/**
 * Starts the readiness check and the metrics of a gateway. Rejects if an address is in use.
 *
 * @example
 * await serveStatus(settings, isReady, () => metrics.render(), disposables);
 */
export async function serveStatus(
    settings: Pick<GatewaySettings, "ip" | "readyAddress" | "metricsPort">,
    isReady: () => boolean,
    renderMetrics: () => string,
    disposables: DisposableStore,
): Promise<void> {
    await serveText(settings.readyAddress, () => ({ status: isReady() ? 200 : 503, text: "" }), disposables);
    const metricsAddress = { ip: settings.ip, port: settings.metricsPort };
    await serveText(metricsAddress, () => ({ status: 200, text: renderMetrics() }), disposables);
}
