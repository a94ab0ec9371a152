import { EndpointRecord } from "../ports/endpointRecord.js";
import { Service } from "../ports/servingConfiguration.js";
import { PlacementStage } from "../routing/enginePlacement.js";

/** What a model request needs of an engine. */
export interface EngineNeeds {
    readonly readMs: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly pauseAimMs: number;
}

/** Engines that are kept free for a request, for the log. Durations are in milliseconds. */
export interface ClaimReport {
    readonly engineIds: readonly string[];
    readonly freeInMs: number;
    readonly partMs: number;
    readonly stage: PlacementStage;
}

/** Work that asks for a place. Times are on the steady clock. */
export interface PlacementOrder {
    readonly service: Service;
    readonly rank: number;
    readonly arrivedAtMs: number;
    /** When the first byte is due. */
    readonly dueAtMs: number;
    /** When the customer will have left without a first byte. */
    readonly giveUpAtMs: number;
    /** Absent for a plain service. */
    readonly needs?: EngineNeeds;
    readonly isUnsafe: boolean;
    readonly avoid: ReadonlySet<string>;
    readonly isSuspect: boolean;
    onPlaced(place: Place): void;
    /** No place is free now. */
    onWaiting(inputs: string): void;
    /** No place is free now, and engines are kept free until it has one. */
    onClaimed(claim: ClaimReport): void;
    /** The work can no longer be served in its time. */
    onHopeless(inputs: string): void;
}

/** A place on an endpoint, held until released. */
export interface Place {
    readonly endpoint: EndpointRecord;
    readonly helpers: readonly EndpointRecord[];
    /** Memory to reserve at each helper, in tokens. */
    readonly reservedTokens: number;
    /** Predicted read time of each part of the prompt, in milliseconds. */
    readonly partMs: number;
    /** Predicted time until the first byte, in milliseconds. */
    readonly firstByteMs: number;
    /** Inputs of the decision, for the log. */
    readonly reason: string;
    /** Marks that the first event has come. */
    startWriting(): void;
    /** Predicted duration of a pass of the endpoint at its own speed, without reads, in milliseconds. */
    predictPassMs(): number;
    release(): void;
}
