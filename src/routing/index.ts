/** Routing decisions: which endpoint receives a request. */
export * from "./affinityPolicy.js";
export * from "./aperture.js";
export * from "./baselinePolicies.js";
export * from "./loadReport.js";
export * from "./modelCapacity.js";
export * from "./predictFirstToken.js";
export * from "./predictivePolicy.js";
export * from "./rendezvous.js";
export * from "./routing.js";
export * from "./tokenEstimate.js";
