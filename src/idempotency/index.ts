/**
 * At-most-once execution of calls that may not be repeated, decided by the order of claim records in a log.
 *
 * @module
 */
export * from "./claimFold.js";
export * from "./claimKey.js";
export * from "./claimRecords.js";
export * from "./sendDecision.js";
