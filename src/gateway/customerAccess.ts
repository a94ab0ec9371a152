import { DisposableStore } from "../base/disposable.js";
import { createCustomerServer, CustomerServer } from "./customerServer.js";
import { GatewaySettings } from "./gatewaySettings.js";
import { createPressureWatch, PressureWatch, PressureWatchOptions } from "./pressureWatch.js";
import { createRequestIntake, RequestIntakeOptions } from "./requestIntake.js";
import { SocketMeter } from "./socketMeter.js";

export interface CustomerAccessOptions
    extends Pick<RequestIntakeOptions, "getTable" | "startupGate">, Pick<PressureWatchOptions, "address" | "exchange">
{
    readonly settings: GatewaySettings;
    readonly services: RequestIntakeOptions["services"];
    readonly socketMeter: SocketMeter;
    readonly disposables: DisposableStore;
}

/** Share of the memory limit for request bodies, and as much for answers. The rest is for the heap and for connections. */
const bodyMemoryShare = 0.25;
/** Share of the file descriptors for customer connections. The rest is for endpoints and the store. */
const customerDescriptorShare = 0.6;

/**
 * Creates the customers' server with what decides on the acceptance of requests. It does not listen yet.
 *
 * @example
 * const { customers, pressureWatch } = createCustomerAccess(options);
 * await customers.listen();
 */
export function createCustomerAccess(
    options: CustomerAccessOptions,
): { customers: CustomerServer; pressureWatch: PressureWatch } {
    const { settings, services, socketMeter, getTable } = options;
    const pressureWatch = options.disposables.register(createPressureWatch({
        ...options,
        ...services,
        capacity: settings.hostCapacity,
        sockets: socketMeter,
        getConfiguration: () => getTable()?.configuration,
    }));
    const handle = createRequestIntake({
        ...options,
        pressureWatch,
        maxBufferedBytes: settings.memoryBytes * bodyMemoryShare,
    });
    const maxConnections = Math.floor(settings.maxDescriptors * customerDescriptorShare);
    return {
        customers: createCustomerServer({
            address: settings.customerAddress,
            maxConnections,
            timers: services.timers,
            handle,
            socketMeter,
        }),
        pressureWatch,
    };
}
