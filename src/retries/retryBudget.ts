export interface RetryBudgetSettings {
    /** Extra attempts per request, for example 0.1 for one in ten. */
    readonly ratio: number;
    /** Maximum accumulated extra attempts. Lets an entry with little traffic retry as well. */
    readonly burst: number;
}

export const defaultRetryBudgetSettings: RetryBudgetSettings = { ratio: 0.1, burst: 10 };

/** Limits extra attempts to a share of the requests, so that retries do not multiply the load on failing endpoints. */
export interface RetryBudget {
    /** Counts a first attempt. */
    recordRequest(): void;
    /** Consumes one extra attempt. Returns false if the budget is exhausted. */
    acquire(): boolean;
    getBalance(): number;
    /** Changes the maximum of accumulated extra attempts. A balance above it is reduced to it. */
    setBurst(burst: number): void;
}

/**
 * Creates a retry budget: a token bucket that is filled by first attempts and starts full.
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
