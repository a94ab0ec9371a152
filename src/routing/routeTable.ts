import murmurhash from "murmurhash";
import { Customer, Route, ServiceShare, ServingConfiguration } from "../ports/servingConfiguration.js";

/** Index of the routes and customers of one configuration version. */
export interface RouteTable {
    readonly version: number;
    readonly configuration: ServingConfiguration;
    /** Returns the route of the host with the longest prefix of the path. */
    findRoute(host: string, path: string): Route | undefined;
    findCustomer(key: string): Customer | undefined;
}

/**
 * Builds the route table of a configuration.
 *
 * @example
 * buildRouteTable(configuration).findRoute("models.example", "/chat/1")?.name;
 */
export function buildRouteTable(configuration: ServingConfiguration): RouteTable {
    const hosts = new Map<string, Map<string, Route>>();
    for (const route of configuration.routes) {
        const prefixes = hosts.get(route.host) ?? new Map<string, Route>();
        prefixes.set(route.prefix, route);
        hosts.set(route.host, prefixes);
    }
    const customers = new Map<string, Customer>();
    for (const customer of configuration.customers ?? []) {
        customer.keys.forEach(key => customers.set(key, customer));
    }
    return {
        version: configuration.version,
        configuration,
        findRoute(host, path) {
            const prefixes = hosts.get(removePort(host).toLowerCase());
            return prefixes && findLongestPrefix(prefixes, removeQuery(path));
        },
        findCustomer: key => customers.get(key),
    };
}

function removePort(host: string): string {
    return host.replace(/:\d+$/, "");
}

function removeQuery(path: string): string {
    const query = path.indexOf("?");
    return query < 0 ? path : path.slice(0, query);
}

function findLongestPrefix(prefixes: ReadonlyMap<string, Route>, path: string): Route | undefined {
    // Route prefixes end with a slash, so only prefixes of the path that end with a slash can match.
    for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
        const route = prefixes.get(path.slice(0, end + 1));
        if (route || end === 0) {
            return route;
        }
    }
    return undefined;
}

/**
 * Chooses the service of a request by the weights of its route. The same request id always gets the same service.
 *
 * @example
 * chooseService([{ service: "a", weight: 90 }, { service: "b", weight: 10 }], requestId); // "a", mostly
 */
export function chooseService(shares: readonly ServiceShare[], requestId: string): string | undefined {
    const total = shares.reduce((sum, share) => sum + share.weight, 0);
    let position = (murmurhash.v3(requestId) / 2 ** 32) * total;
    for (const share of shares) {
        position -= share.weight;
        if (position < 0) {
            return share.service;
        }
    }
    return shares.at(-1)?.service;
}
