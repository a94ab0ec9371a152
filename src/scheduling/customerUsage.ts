/** Capacity of a service that a customer has used lately at one gateway. */
export interface CustomerUse {
    readonly service: string;
    /** Hash of the customer's name. */
    readonly customer: number;
    /** Decayed use, in milliseconds of a slot (plain services) or of an engine. */
    readonly usedMs: number;
}

/** Use of a service by a customer in relation to its share, in milliseconds of a slot or of an engine. */
export interface UsedShare {
    readonly usedMs: number;
    /** Equal share of what all customers have used or, if it is more, of a part of the time of all engines. */
    readonly equalMs: number;
    readonly customers: number;
}

/** Tracks how much of each service its customers have used lately, and which of them use more than their share. */
export interface CustomerUsage {
    /** Records that a customer has asked for the service at this gateway, and used it for `usedMs`. */
    record(service: string, customer: number, usedMs: number, nowMs: number): void;
    /** Sets the number of engines of a service, which its customers divide. */
    setEngines(service: string, engines: number): void;
    /** Lists the use at this gateway that other gateways should know of. */
    listOwn(nowMs: number): readonly CustomerUse[];
    /** Applies what another gateway reports. A use that it no longer reports ends after `reportEndMs`. */
    applyReport(gateway: string, uses: readonly CustomerUse[], nowMs: number): void;
    /**
     * Returns whether a customer has used clearly more than an equal share of what all gateways report. False while
     * no other customer uses the service.
     */
    isAboveShare(service: string, customer: number, nowMs: number): boolean;
    /** Lists the customers of a service for which `isAboveShare` is true. */
    getAboveShare(service: string, nowMs: number): ReadonlySet<number>;
    /** Describes the share on which `isAboveShare` is based. */
    describeShare(service: string, customer: number, nowMs: number): UsedShare;
    /** Copies the use of one service, to compute with a use that is not recorded here. */
    copyService(service: string): CustomerUsage;
    /** Lists the customers of each service that use more than their share, as `SERVICE HASH`. */
    listAboveShare(nowMs: number): readonly string[];
}

/** Time in which use decays to 1/e. It covers several of the longest usual requests. */
const decayMs = 4_000;
/** Time for which a customer that sends nothing more still counts among those that divide the service. */
const activeMs = 3_000;
/** Time after which a use without a repeat ends. Reports are repeated every second, so that one may be lost. */
export const reportEndMs = 2_900;
/** Use in relation to an equal share above which it exceeds the share. Customers of about equal use stay below it. */
const excessFactor = 1.25;
/**
 * Part of the time of all engines that customers may use without exceeding their shares, divided equally. Such use leaves
 * no other customer without engines. Without it, a customer of a few very long prompts was above its share at low load,
 * and waited behind a burst of short prompts.
 */
const freeEngineShare = 0.5;
const maxCustomersPerService = 64;
const maxServices = 64;
const maxGateways = 64;
/** Time for which the shares of a service are not computed again. */
const cacheMs = 20;
const ownGateway = "";

interface Use {
    readonly usedMs: number;
    readonly atMs: number;
}

/** Use by service, gateway and customer. */
type UseByService = Map<string, Map<string, Map<number, Use>>>;

interface Shares {
    readonly computedAtMs: number;
    readonly aboveShare: ReadonlySet<number>;
}

/**
 * Creates an empty record of use.
 *
 * @example
 * usage.record("desk", hashCustomer("planner"), 80, timers.now());
 * usage.isAboveShare("desk", hashCustomer("planner"), timers.now());
 */
export function createCustomerUsage(
    initial: UseByService = new Map(),
    initialEngines: ReadonlyMap<string, number> = new Map(),
): CustomerUsage {
    const services: UseByService = new Map(initial);
    const cache = new Map<string, Shares>();
    const engineCounts = new Map(initialEngines);

    function getUses(service: string, gateway: string): Map<number, Use> | undefined {
        let gateways = services.get(service);
        if (!gateways) {
            if (services.size >= maxServices) {
                return undefined;
            }
            gateways = new Map();
            services.set(service, gateways);
        }
        let uses = gateways.get(gateway);
        if (!uses && gateways.size < maxGateways) {
            uses = new Map();
            gateways.set(gateway, uses);
        }
        return uses;
    }

    function setUse(service: string, gateway: string, customer: number, use: Use): void {
        const uses = getUses(service, gateway);
        if (!uses) {
            return;
        }
        uses.set(customer, use);
        if (uses.size > maxCustomersPerService) {
            const least = [...uses].filter(([other]) => other !== customer)
                .sort(([, left], [, right]) => computeUsedMs(left, use.atMs) - computeUsedMs(right, use.atMs))[0]!;
            uses.delete(least[0]);
        }
    }

    function prune(nowMs: number): void {
        for (const [service, gateways] of services) {
            for (const [gateway, uses] of gateways) {
                const endMs = gateway === ownGateway ? activeMs : reportEndMs;
                [...uses].filter(([, use]) => nowMs - use.atMs > endMs)
                    .forEach(([customer]) => uses.delete(customer));
                if (uses.size === 0) {
                    gateways.delete(gateway);
                }
            }
            if (gateways.size === 0) {
                services.delete(service);
                engineCounts.delete(service);
                cache.delete(service);
            }
        }
    }

    function computeUses(service: string, nowMs: number) {
        const sums = new Map<number, number>();
        for (const uses of services.get(service)?.values() ?? []) {
            uses.forEach((use, customer) => sums.set(customer, (sums.get(customer) ?? 0) + computeUsedMs(use, nowMs)));
        }
        const usedMs = [...sums.values()].reduce((sum, used) => sum + used, 0);
        const freeMs = freeEngineShare * (engineCounts.get(service) ?? 0) * decayMs;
        return { sums, equalMs: Math.max(usedMs, freeMs) / Math.max(1, sums.size) };
    }

    function computeAboveShare(service: string, nowMs: number): ReadonlySet<number> {
        const cached = cache.get(service);
        if (cached && nowMs - cached.computedAtMs < cacheMs) {
            return cached.aboveShare;
        }
        prune(nowMs);
        const { sums, equalMs } = computeUses(service, nowMs);
        const aboveShare = new Set(
            [...sums].filter(([, usedMs]) => sums.size > 1 && usedMs > excessFactor * equalMs)
                .map(([customer]) => customer),
        );
        if (services.has(service)) {
            cache.set(service, { computedAtMs: nowMs, aboveShare });
        }
        return aboveShare;
    }

    return {
        record(service, customer, usedMs, nowMs) {
            const previous = services.get(service)?.get(ownGateway)?.get(customer);
            const before = previous ? computeUsedMs(previous, nowMs) : 0;
            setUse(service, ownGateway, customer, { usedMs: before + usedMs, atMs: nowMs });
        },
        setEngines(service, engines) {
            if (services.has(service)) {
                engineCounts.set(service, engines);
            }
        },
        listOwn(nowMs) {
            prune(nowMs);
            return [...services].flatMap(([service, gateways]) =>
                [...gateways.get(ownGateway) ?? []]
                    .map(([customer, use]) => ({ service, customer, usedMs: computeUsedMs(use, nowMs) }))
            );
        },
        applyReport(gateway, uses, nowMs) {
            prune(nowMs);
            uses.forEach(({ service, customer, usedMs }) =>
                setUse(service, gateway, customer, { usedMs, atMs: nowMs })
            );
        },
        getAboveShare: computeAboveShare,
        isAboveShare: (service, customer, nowMs) => computeAboveShare(service, nowMs).has(customer),
        describeShare(service, customer, nowMs) {
            const { sums, equalMs } = computeUses(service, nowMs);
            return { usedMs: sums.get(customer) ?? 0, equalMs, customers: sums.size };
        },
        copyService(service) {
            const gateways = [...services.get(service) ?? []];
            return createCustomerUsage(
                new Map([[service, new Map(gateways.map(([gateway, uses]) => [gateway, new Map(uses)]))]]),
                engineCounts,
            );
        },
        listAboveShare: nowMs =>
            [...services.keys()].flatMap(service =>
                [...computeAboveShare(service, nowMs)].map(customer => `${service} ${customer.toString(16)}`)
            ),
    };
}

function computeUsedMs(use: Use, nowMs: number): number {
    return use.usedMs * Math.exp(-Math.max(0, nowMs - use.atMs) / decayMs);
}
