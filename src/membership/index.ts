/** Detection of paused processes. */
export { createPauseDetector } from "./pauseDetector.js";
export type { PauseDetector } from "./pauseDetector.js";
