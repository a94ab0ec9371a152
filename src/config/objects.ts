/** Types of the named objects of a configuration. The value is the section's key in configuration files. */
export enum ObjectType {
    Model = "models",
    Version = "versions",
    Adapter = "adapters",
    Rank = "ranks",
    Kind = "kinds",
    Customer = "customers",
    Endpoint = "endpoints",
    Service = "services",
}

/** How the cost that a request of a kind has for its customer is computed. */
export enum CostBasis {
    /** The cost of a request is the cost weight. */
    Request = "request",
    /** The cost of a request is the cost weight for each token of its prompt and output. */
    Token = "token",
}

/** A model that requests refer to by name. */
export interface ModelObject {
    /** Version in force. */
    readonly version: string;
    readonly maxOutputTokens: number;
    readonly bytesPerToken: number;
    /** Largest share of the model's endpoints that may load weights at the same time, from 0 to 1. */
    readonly loadingShare: number;
}

/** A version of a model. */
export interface VersionObject {
    readonly model: string;
    readonly weights: string;
}

/** An adapter that can be applied to a model. */
export interface AdapterObject {
    readonly model: string;
    readonly weights: string;
}

/** A priority level of requests. */
export interface RankObject {
    /** Lower numbers are more urgent. */
    readonly urgency: number;
    /** Guaranteed share of each endpoint's service, from 0 to 1. */
    readonly share: number;
    /** Time limit of requests that do not set one, in milliseconds. */
    readonly timeLimitMs: number;
}

/** A kind of request, with its default rank and its cost. */
export interface KindObject {
    readonly rank: string;
    readonly costBasis: CostBasis;
    readonly costWeight: number;
}

/** A customer or operator account. */
export interface CustomerObject {
    /** SHA-256 digests of the customer's keys, in lower-case hexadecimal. */
    readonly keyDigests: readonly string[];
    readonly ranks: readonly string[];
    readonly defaultKind: string;
    /** Weight of the customer in fair queueing. */
    readonly weight: number;
    readonly operator: boolean;
}

/** A model engine or an instance of a plain service, with a sidecar on the same host. */
export interface EndpointObject {
    readonly host: string;
    readonly dataCentre: string;
    readonly model?: string;
    readonly service?: string;
    readonly adapters: readonly string[];
    readonly role: string;
    /** Whether the endpoint refuses commands with an outdated fencing token. */
    readonly checksFencing: boolean;
    readonly memoryTokens: number;
    readonly maxRunning: number;
}

/** A plain service. */
export interface ServiceObject {
    readonly rank: string;
    /** Whether calls may be sent more than once. */
    readonly repeatable: boolean;
    readonly timeLimitMs: number;
}

/** All named objects of a configuration, by type and name. */
export interface ConfigurationObjects {
    readonly models: Readonly<Record<string, ModelObject>>;
    readonly versions: Readonly<Record<string, VersionObject>>;
    readonly adapters: Readonly<Record<string, AdapterObject>>;
    readonly ranks: Readonly<Record<string, RankObject>>;
    readonly kinds: Readonly<Record<string, KindObject>>;
    readonly customers: Readonly<Record<string, CustomerObject>>;
    readonly endpoints: Readonly<Record<string, EndpointObject>>;
    readonly services: Readonly<Record<string, ServiceObject>>;
}

/** A configuration in force. */
export interface Configuration {
    /** Offset of the last accepted change set; -1 before the first. It never decreases. */
    readonly generation: number;
    readonly digest: string;
    readonly objects: ConfigurationObjects;
}

/** Returns a set without objects. */
export function makeEmptyObjects(): ConfigurationObjects {
    return {
        models: {},
        versions: {},
        adapters: {},
        ranks: {},
        kinds: {},
        customers: {},
        endpoints: {},
        services: {},
    };
}

/**
 * Finds an object by an untrusted name. Inherited properties such as "constructor" are not found.
 *
 * @example
 * findObject(configuration.objects.models, "demo")?.version;
 */
export function findObject<Value>(objects: Readonly<Record<string, Value>>, name: string): Value | undefined {
    return Object.hasOwn(objects, name) ? objects[name] : undefined;
}
