/** Retry decisions and retry budgets. */
export { createRetryBudget, defaultRetryBudgetSettings } from "./retryBudget.js";
export type { RetryBudget, RetryBudgetSettings } from "./retryBudget.js";
export { decideRetry, maxAttempts, RetryDecision } from "./retryPolicy.js";
export type { FailedAttempt } from "./retryPolicy.js";
