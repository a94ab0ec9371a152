/** Decisions about which processes run and answer. */
export { createPauseDetector } from "./pauseDetector.js";
export type { PauseDetector } from "./pauseDetector.js";
