/**
 * Components that other programs can embed without running the jujubelane processes. Times are in milliseconds. A
 * component that needs the current time receives it as an argument or through a {@link TimerService}.
 *
 * @module
 */
export * from "./base/disposable.js";
export * from "./base/manualTimerService.js";
export * from "./base/randomSource.js";
export * from "./base/requestError.js";
export * from "./base/result.js";
export { createSystemTimerService } from "./base/systemTimerService.js";
export * from "./base/timerService.js";
export * from "./base/verdict.js";
export * from "./ports/hostList.js";
export * from "./ports/logService.js";
export * from "./ports/modelEngine.js";
export * from "./ports/plainService.js";
export * from "./ports/weightStore.js";
