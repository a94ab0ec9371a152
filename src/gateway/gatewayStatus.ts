import { DisposableStore } from "../base/disposable.js";
import { EndpointDirectory } from "../membership/endpointDirectory.js";
import { RouteTable } from "../routing/routeTable.js";
import { ColdWatch } from "./coldWatch.js";
import { createEndpointFacts } from "./endpointFacts.js";
import { EvacuationWatch } from "./evacuationWatch.js";
import { GaugeSources, registerGauges } from "./gatewayGauges.js";
import { GatewaySettings } from "./gatewaySettings.js";
import { createPlacementExplainer } from "./placementExplanation.js";
import { PressureWatch } from "./pressureWatch.js";
import { RequestServices } from "./requestServices.js";
import { serveStatus } from "./textServer.js";

/** Parts of a gateway whose state can be read. */
export interface GatewayStatusParts extends Omit<RequestServices, "customerMetrics">, GaugeSources {
    readonly directory: EndpointDirectory;
    readonly coldWatch: ColdWatch;
    readonly evacuationWatch: EvacuationWatch;
    readonly pressureWatch: PressureWatch;
    readonly settings: GatewaySettings;
}

/** State of a gateway that changes while it runs. */
export interface GatewayState {
    isReady(): boolean;
    getTable(): RouteTable | undefined;
}

/**
 * Serves the readiness check, the metrics and the explanations of a gateway. Rejects if an address is in use.
 *
 * @example
 * await serveGatewayStatus(parts, { isReady, getTable }, disposables);
 */
export async function serveGatewayStatus(
    parts: GatewayStatusParts,
    state: GatewayState,
    disposables: DisposableStore,
): Promise<void> {
    const { settings, metrics } = parts;
    registerGauges(metrics, parts, () => state.getTable()?.version);
    const explain = createPlacementExplainer({
        ...parts,
        ...state,
        listFacts: createEndpointFacts({ ...parts, regions: settings.regions }),
    });
    const isReady = () => state.isReady() && parts.pressureWatch.isReady();
    await serveStatus(settings, isReady, () => metrics.render(), explain, disposables);
}
