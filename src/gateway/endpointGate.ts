import { EndpointRecord } from "../ports/endpointRecord.js";

/** Decides from facts beyond the registration whether an endpoint may be sent new requests. */
export interface EndpointGate {
    /** Returns whether this gateway may send the endpoint a request, or a part of one, now. */
    isOpen(endpoint: EndpointRecord, nowMs: number): boolean;
    /** Returns whether an endpoint should get work only if no other one can take it. */
    isLastChoice(endpoint: EndpointRecord, nowMs: number): boolean;
    /** Returns the time until the gate opens, in milliseconds: 0 if it is open, infinity if it stays closed. */
    getOpensInMs(endpoint: EndpointRecord, nowMs: number): number;
}

/**
 * Combines gates. An endpoint is open if all of them are open.
 *
 * @example
 * const gate = mergeGates([leavingGate, fullGate]);
 * gate.isOpen(record, timers.now());
 */
export function mergeGates(gates: readonly EndpointGate[]): EndpointGate {
    return {
        isOpen: (endpoint, nowMs) => gates.every(gate => gate.isOpen(endpoint, nowMs)),
        isLastChoice: (endpoint, nowMs) => gates.some(gate => gate.isLastChoice(endpoint, nowMs)),
        getOpensInMs: (endpoint, nowMs) => Math.max(0, ...gates.map(gate => gate.getOpensInMs(endpoint, nowMs))),
    };
}
