/** Admission and ordering of requests at one endpoint. */
export { createFairScheduler } from "./fairScheduler.js";
export { createFirstComeScheduler } from "./firstComeScheduler.js";
export { computeLengthClass, LengthClass, mediumPromptTokens, shortPromptTokens } from "./lengthClass.js";
export * from "./scheduler.js";
export * from "./splitPrompt.js";
export * from "./ticket.js";
