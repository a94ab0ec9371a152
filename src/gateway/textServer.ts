import { createServer } from "node:http";
import { Disposable, DisposableStore } from "../base/disposable.js";
import { renderExplanation } from "./explainRoute.js";
import { GatewaySettings, ListenAddress } from "./gatewaySettings.js";
import { PlacementExplainer } from "./placementExplanation.js";

/** Answer of a text server. */
export interface TextAnswer {
    readonly status: number;
    readonly text: string;
    readonly isJson?: boolean;
}

/**
 * Starts an HTTP server that answers with the text that is rendered for the path and query. Rejects if it cannot listen on the address.
 *
 * @example
 * await serveText(settings.readyAddress, () => ({ status: isReady() ? 200 : 503, text: "" }), disposables);
 */
export function serveText(
    address: ListenAddress,
    render: (target: string) => TextAnswer,
    disposables: DisposableStore,
): Promise<void> {
    const server = createServer((request, response) => {
        request.resume();
        const { status, text, isJson } = render(request.url ?? "");
        const type = isJson ? "application/json" : "text/plain";
        response.writeHead(status, { "Content-Type": type, "Content-Length": Buffer.byteLength(text) });
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
 * Starts the readiness check, the metrics and the explanations of a gateway. Rejects if an address is in use.
 *
 * @example
 * await serveStatus(settings, isReady, () => metrics.render(), explain, disposables);
 */
export async function serveStatus(
    settings: Pick<GatewaySettings, "ip" | "readyAddress" | "metricsPort">,
    isReady: () => boolean,
    renderMetrics: () => string,
    explain: PlacementExplainer,
    disposables: DisposableStore,
): Promise<void> {
    await serveText(settings.readyAddress, () => ({ status: isReady() ? 200 : 503, text: "" }), disposables);
    const metricsAddress = { ip: settings.ip, port: settings.metricsPort };
    await serveText(
        metricsAddress,
        target => renderExplanation(target, explain) ?? { status: 200, text: renderMetrics() },
        disposables,
    );
}
