import { EndpointRecord } from "../ports/endpointRecord.js";
import { Service } from "../ports/servingConfiguration.js";
import { PlacementStage } from "../routing/enginePlacement.js";
import { AllowedRegions } from "../routing/regionRestriction.js";

/** Engine time and memory that a model request needs. */
export interface EngineNeeds {
    /** Predicted time to prefill the prompt on one engine, in milliseconds. */
    readonly prefillMs: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Largest number of output tokens that the customer allows; absent if it sets no limit. */
    readonly maxOutputTokens?: number;
    /** Target for the longest gap between two events, in milliseconds. */
    readonly gapTargetMs: number;
}

/** Describes, for the log, the engines that are kept free for a request. Durations are in milliseconds. */
export interface ClaimReport {
    readonly engineIds: readonly string[];
    readonly freeInMs: number;
    readonly partMs: number;
    readonly stage: PlacementStage;
}

/** Identifies the customer whose share a request uses. */
export interface CustomerShare {
    /** Hash of the customer's name. */
    readonly customer: number;
    /** Identifies requests that are alike, so that one that comes back after a refusal keeps its order. */
    readonly fingerprint?: string;
}

/** Why a request was refused a place. */
export interface PlacementRefusal {
    /** Inputs of the decision, for the log. */
    readonly inputs: string;
    /** Predicted time to the start, in milliseconds, if the request was refused for it. */
    readonly startMs?: number;
}

/** Request to be placed on an endpoint. Times are on the monotonic clock. */
export interface PlacementJob {
    readonly service: Service;
    readonly rank: number;
    readonly arrivedAtMs: number;
    /** When the first byte should be sent to meet the route's target. */
    readonly dueAtMs: number;
    /** When the customer is assumed to disconnect if no first byte has arrived. */
    readonly customerTimeoutAtMs: number;
    /** Absent for a plain service. */
    readonly needs?: EngineNeeds;
    /** Whether the request must not run twice. */
    readonly isUnsafe: boolean;
    /** Ids of endpoints that the request must not be sent to again. */
    readonly avoid: ReadonlySet<string>;
    readonly isSuspect: boolean;
    /** Regions that the request may run in; absent if there is no restriction. */
    readonly allowedRegions?: AllowedRegions;
    /**
     * Whether the request is placed now or not at all. It is neither queued nor refused, engines are not kept free for
     * it, and it makes no other request late.
     */
    readonly isImmediate?: boolean;
    /** Absent if the configuration has fewer than two customers, which need no shares. */
    readonly share?: CustomerShare;
    onPlaced(place: Place): void;
    /** Called when no endpoint has capacity now. */
    onWaiting(inputs: string): void;
    /** Called when no endpoint has capacity now and engines are kept free for the request. */
    onClaimed(claim: ClaimReport): void;
    /** Called when the request can no longer be answered in time, or at once when it is predicted to start too late. */
    onExpired(refusal: PlacementRefusal): void;
}

/** Capacity of an endpoint that is assigned to a request until it is released. */
export interface Place {
    readonly endpoint: EndpointRecord;
    readonly helpers: readonly EndpointRecord[];
    /** Memory to reserve at each helper, in tokens. */
    readonly reservedTokens: number;
    /** Predicted prefill time of each part of the prompt, in milliseconds. */
    readonly partMs: number;
    /** Predicted time until the first byte, in milliseconds. */
    readonly firstByteMs: number;
    /** Inputs of the placement decision, for the log. */
    readonly reason: string;
    /** Records that the first event was received. */
    startDecode(): void;
    /**
     * Whether the place must be kept for `settleMs` before the request is sent, since other gateways may have assigned the same
     * memory meanwhile.
     */
    readonly isTentative: boolean;
    /** Returns whether the memory suffices for the request and all others that are known. */
    hasMemory(): boolean;
    /**
     * Predicts the duration of a decoding pass of the endpoint at nominal speed and without prefill, in milliseconds.
     */
    predictPassMs(): number;
    release(): void;
}
