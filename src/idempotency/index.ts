/**
 * At-most-once execution of calls that are not safe to repeat, decided by the order of claim records in a shared log.
 *
 * @module
 */
export * from "./claimFold.js";
export * from "./claimKey.js";
export * from "./claimRecords.js";
export * from "./sendDecision.js";
