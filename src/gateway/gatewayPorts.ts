import { Server } from "node:net";
import { EventLog } from "../base/log.js";
import { TimerService } from "../base/timerService.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { ExchangeCodec } from "../ports/exchange.js";
import { MemoryReservationService } from "../ports/memoryReservationService.js";
import { EvacuationRecord, KeyedRecord, RecordFeed, WritableFeed } from "../ports/recordFeed.js";
import { ServingConfiguration } from "../ports/servingConfiguration.js";

/** External dependencies of a gateway: the store, the endpoints' protocol, time and randomness. */
export interface GatewayPorts {
    readonly configurationFeed: RecordFeed;
    readonly endpointFeed: RecordFeed;
    readonly gatewayFeed: WritableFeed;
    /** Quarantines, which all gateways read and write. */
    readonly quarantineFeed: WritableFeed;
    decodeConfiguration(record: KeyedRecord): ServingConfiguration | undefined;
    /** Decodes the evacuation of a data centre from a record of the configuration's feed. */
    decodeEvacuation(record: KeyedRecord): EvacuationRecord | undefined;
    decodeEndpoint(record: KeyedRecord): EndpointRecord | undefined;
    readonly codec: ExchangeCodec;
    readonly memoryReservations: MemoryReservationService;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly random: () => number;
    /** Unique id of this run of the process. */
    readonly incarnation: string;
    /** Server that already listens on the customers' address, if the process opened it before it loaded its modules. */
    readonly customerListener?: Server;
}

/** A running gateway. */
export interface Gateway {
    /**
     * Stops accepting connections, finishes the requests in progress and closes the gateway. Resolves when it is
     * closed.
     *
     * @param elapsedMs time that has passed since the stop was requested, in milliseconds; absent: none
     */
    drain(elapsedMs?: number): Promise<void>;
}
