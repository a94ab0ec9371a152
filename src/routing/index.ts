/** Decisions about the endpoint that a request goes to. */
export { chooseByAffinity } from "./affinityPolicy.js";
export { chooseLeastConnections, chooseRoundRobin } from "./baselinePolicies.js";
export * from "./loadReport.js";
export * from "./routing.js";
