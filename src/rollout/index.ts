export { computeBackoff } from "./backoff.js";
export type { BackoffSettings } from "./backoff.js";
export { buildFenceStep, findNextStep, findTarget, isInForce, isSameTarget } from "./endpointTarget.js";
export type { EndpointTarget, RolloutStep, WeightsReference } from "./endpointTarget.js";
export { createLeaseState, findLease, foldLease, leaseRecordSchema, LeaseRecordType } from "./leases.js";
export type { Lease, LeaseRecord, LeaseResource, LeaseState } from "./leases.js";
export { advanceRollout, rolloutBackoff } from "./reconcile.js";
export { createRolloutState, RolloutEffectKind, RolloutEventKind, RolloutPhase } from "./rolloutState.js";
export type {
    HeldSlot,
    RolloutContext,
    RolloutEffect,
    RolloutEvent,
    RolloutState,
    RolloutTransition,
} from "./rolloutState.js";
