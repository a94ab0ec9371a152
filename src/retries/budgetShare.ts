/** Share of the budget that is used, which leaves room for processes that start with a whole share again. */
const usableShare = 0.8;
/** Gateways that share the budget where fewer are known: some may be out of reach of each other and of the store. */
const minGateways = 4;

/**
 * Computes the extra attempts that one gateway may save up, so that all together stay within the slack although they do not
 * tell each other what they use.
 *
 * @example
 * computeBudgetBurst(102, 4); // 20
 */
export function computeBudgetBurst(slack: number, gateways: number): number {
    return Math.floor((slack * usableShare) / Math.max(minGateways, gateways));
}

/**
 * Computes the extra attempts that one gateway may make for each of its own requests.
 *
 * @example
 * computeBudgetRatio(0.2); // 0.16
 */
export function computeBudgetRatio(ratio: number): number {
    return ratio * usableShare;
}
