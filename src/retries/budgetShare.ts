/**
 * Share of the budget that gateways hand out. The rest covers gateways that restart and begin with a full share again.
 */
const usableShare = 0.8;
/**
 * Lower bound of the assumed number of gateways: in a partition, a gateway does not see all those that share the
 * budget.
 */
const minGateways = 4;

/**
 * Computes the burst of extra attempts of one gateway. Gateways do not coordinate their use of the budget, so each gets
 * a fixed share that keeps the total within `slack`.
 *
 * @example
 * computeBudgetBurst(102, 4); // 20
 */
export function computeBudgetBurst(slack: number, gateways: number): number {
    return Math.floor((slack * usableShare) / Math.max(minGateways, gateways));
}

/**
 * Computes the extra attempts that one gateway may make per request.
 *
 * @example
 * computeBudgetRatio(0.2); // 0.16
 */
export function computeBudgetRatio(ratio: number): number {
    return ratio * usableShare;
}
