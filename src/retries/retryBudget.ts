/** Settings of a retry budget. */
export interface RetryBudgetSettings {
    /** Extra attempts per request, for example 0.1 for one in ten. */
    readonly ratio: number;
    /** Extra attempts that may be saved up, so that a quiet entry can retry at all. */
    readonly burst: number;
}

/** Default settings of a retry budget. */
export const defaultRetryBudgetSettings: RetryBudgetSettings = { ratio: 0.1, burst: 10 };

/** Limits extra attempts to a share of requests, so that retries cannot multiply the load of a failing fleet. */
export interface RetryBudget {
    /** Counts a first attempt. */
    recordRequest(): void;
    /** Takes one extra attempt. Returns whether the budget allowed it. */
    acquire(): boolean;
    getBalance(): number;
    /** Changes how many extra attempts may be saved up; what is saved above that is lost. */
    setBurst(burst: number): void;
}

/**
 * Creates a retry budget as a token bucket that first attempts fill.
 *
 * @example
 * const budget = createRetryBudget({ ratio: 0.1, burst: 10 });
 * budget.recordRequest();
 * if (budget.acquire()) { retry(); }
 */
export function createRetryBudget(settings: RetryBudgetSettings): RetryBudget {
    let { burst } = settings;
    let balance = burst;
    return {
        recordRequest() {
            balance = Math.min(burst, balance + settings.ratio);
        },
        acquire() {
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        },
        getBalance: () => balance,
        setBurst(next) {
            burst = next;
            balance = Math.min(balance, burst);
        },
    };
}
