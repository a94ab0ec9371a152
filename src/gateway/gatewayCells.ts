import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { ServingConfiguration } from "../ports/servingConfiguration.js";
import {
    computeMaxCells,
    countSharingGateways,
    decideCell,
    EndpointPartition,
    listEndpointOwners,
    onlyCell,
    selectCellEndpoints,
    selectReportReceivers,
    splitEndpoints,
} from "../routing/gatewayCell.js";
import { createPeakCount } from "../routing/peakCount.js";

/** The division of gateways and endpoints into cells, as this gateway knows it. */
export interface GatewayCells {
    /** Applies the exchange addresses of all gateways that the store lists. */
    setGateways(addresses: readonly string[]): void;
    /** Divides anew after the endpoints have changed. */
    update(): void;
    listGateways(): readonly string[];
    /** Selects the endpoints of a service that the own cell uses. */
    select(endpoints: readonly EndpointRecord[]): readonly EndpointRecord[];
    /**
     * Counts the gateways that use the same endpoints of a service with `endpoints` endpoints. `unlisted` gateways are
     * assumed until the list of gateways has been read.
     */
    countSharing(endpoints: number, unlisted?: number): number;
    /** Lists the gateways of other cells that use an endpoint, nobody if the own cell uses it. */
    listOwners(endpoint: string, partition: EndpointPartition): readonly string[];
    split(endpoints: readonly EndpointRecord[]): EndpointPartition;
    /** Lists the gateways of other cells that the own cell reports its spare engines to. */
    listReportReceivers(): readonly string[];
    /** Counts the cells that use the same endpoints of a service with `endpoints` endpoints. */
    countSharingCells(endpoints: number): number;
}

export interface GatewayCellsOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    /** Address at which this gateway receives messages of others. */
    readonly exchangeAddress: string;
    readonly getConfiguration: () => ServingConfiguration | undefined;
    /** Counts the endpoints of a service that accept new work. */
    readonly countEndpoints: (service: string) => number;
    readonly setPeers: (members: readonly string[], others: readonly string[]) => void;
    /** Called when the own cell uses other endpoints than before. */
    readonly onChange: () => void;
}

/** Gateways that are assumed until the list of gateways has been read. */
const assumedGateways = 4;
/**
 * Time for which lost endpoints still count in the division into cells, in milliseconds. Most are back within seconds, and
 * gateways that divide differently do not know of each other's work.
 */
const endpointCountWindowMs = 30_000;

/**
 * Cells whose reports of spare engines a gateway gets. Reports to all others grew with the number of gateways: in a sweep the
 * busiest of 301 gateways had 407 kB a second, of 100 it had 121.
 */
const maxReportingCells = 3;

/**
 * Creates the division of a gateway that knows no others.
 *
 * @example
 * const cells = createGatewayCells(options);
 * cells.setGateways(["10.1.0.4:7340", "10.2.0.4:7340"]);
 */
export function createGatewayCells(options: GatewayCellsOptions): GatewayCells {
    const { timers, log, exchangeAddress } = options;
    const endpointCount = createPeakCount(endpointCountWindowMs);
    let cell = onlyCell;
    let indexes: ReadonlyMap<string, number> = new Map();
    let gateways: readonly string[] = [];

    /** Returns the most cells that the endpoints of the largest service allow, short losses left out. */
    function getMaxCells(): number {
        const services = [...options.getConfiguration()?.services.values() ?? []];
        const engineServices = services.filter(service => service.engine);
        const areEngines = engineServices.length > 0;
        const counts = (areEngines ? engineServices : services).map(service => options.countEndpoints(service.name));
        return counts.length === 0
            ? Infinity
            : computeMaxCells(endpointCount.record(Math.max(...counts), timers.now()), areEngines);
    }

    function update(): void {
        if (gateways.length === 0) {
            return;
        }
        const previous = cell;
        const { cell: decided, members, others, indexes: decidedIndexes } = decideCell(
            exchangeAddress,
            gateways,
            getMaxCells(),
        );
        cell = decided;
        indexes = decidedIndexes;
        options.setPeers(members, others);
        if (cell.index !== previous.index || cell.count !== previous.count) {
            options.onChange();
            log(LogEvent.CellChanged, { cell: cell.index, cells: cell.count, members: members.length + 1 });
        }
    }

    return {
        setGateways(addresses) {
            gateways = addresses;
            update();
        },
        update,
        listGateways: () => gateways,
        select: endpoints => selectCellEndpoints(cell, endpoints),
        listOwners: (endpoint, partition) => listEndpointOwners(cell, indexes, partition, endpoint),
        split: endpoints => splitEndpoints(cell, endpoints.map(record => record.id)),
        listReportReceivers: () => selectReportReceivers(cell, indexes, maxReportingCells),
        countSharingCells: endpoints => countSharingGateways(cell, cell.count, endpoints),
        countSharing: (endpoints, unlisted = assumedGateways) =>
            countSharingGateways(cell, gateways.length || unlisted, endpoints),
    };
}
