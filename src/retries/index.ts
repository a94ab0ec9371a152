/** Retry decisions and retry budgets. */
export { decideFinalStatus, isRefusalStatus } from "./finalStatus.js";
export type { FinalAnswer } from "./finalStatus.js";
export { createRetryBudget, defaultRetryBudgetSettings } from "./retryBudget.js";
export type { RetryBudget, RetryBudgetSettings } from "./retryBudget.js";
export { decideRetry, maxAttempts, RetryDecision } from "./retryPolicy.js";
export type { FailedAttempt } from "./retryPolicy.js";
