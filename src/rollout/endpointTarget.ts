import { Configuration } from "../config/objects.js";
import { EngineCommand, EngineCommandKind, EngineReport } from "../ports/modelEngine.js";

/** Weights that an engine can load, with the name under which the weight store knows them. */
export interface WeightsReference {
    readonly name: string;
    readonly weights: string;
}

/** Desired state of one engine in the configuration in force. */
export interface EndpointTarget {
    /** Generation of the configuration. It is the fencing token of every command. */
    readonly generation: number;
    readonly model: string;
    readonly version: WeightsReference;
    readonly adapters: readonly WeightsReference[];
    readonly role: string;
    /** Whether the engine refuses commands with an old fencing token. */
    readonly checksFencing: boolean;
    /** Maximum number of the model's endpoints that may load a version at the same time. */
    readonly loadSlots: number;
}

/** A command that brings an engine closer to its target, and the preconditions for sending it. */
export interface RolloutStep {
    readonly command: EngineCommand;
    /** Name of the weights whose read the weight store must grant. */
    readonly weights?: string;
    /** Whether a load slot must be held. */
    readonly needsSlot: boolean;
}

/**
 * Returns the target of an endpoint, or `undefined` if it is not in the configuration or is not an engine.
 *
 * @example
 * const target = findTarget(configuration, "engine-1");
 */
export function findTarget(configuration: Configuration, endpointName: string): EndpointTarget | undefined {
    const { endpoints, models, versions, adapters } = configuration.objects;
    const endpoint = endpoints[endpointName];
    const model = endpoint?.model === undefined ? undefined : models[endpoint.model];
    if (!endpoint?.model || !model) {
        return undefined;
    }
    const count = Object.values(endpoints).filter(other => other.model === endpoint.model).length;
    return {
        generation: configuration.generation,
        model: endpoint.model,
        version: { name: model.version, weights: versions[model.version]?.weights ?? model.version },
        adapters: endpoint.adapters.map(name => ({ name, weights: adapters[name]?.weights ?? name })),
        role: endpoint.role,
        checksFencing: endpoint.checksFencing,
        loadSlots: Math.max(1, Math.floor(count * model.loadingShare)),
    };
}

/** Whether two targets have the same content, regardless of their generations. */
export function isSameTarget(left: EndpointTarget, right: EndpointTarget): boolean {
    const names = (target: EndpointTarget) => target.adapters.map(adapter => adapter.name).sort().join("\n");
    return left.model === right.model
        && left.version.name === right.version.name
        && left.role === right.role
        && names(left) === names(right);
}

/**
 * Returns the next command that an engine needs, or `undefined` if its report matches the target. A target version that
 * is already being loaded needs no command.
 *
 * @example
 * const step = findNextStep(target, report);
 */
export function findNextStep(target: EndpointTarget, report: EngineReport): RolloutStep | undefined {
    return findVersionStep(target, report) ?? findAdapterStep(target, report) ?? findRoleStep(target, report);
}

/** Whether an engine's report matches the target in full and no load is in progress. */
export function isInForce(target: EndpointTarget, report: EngineReport): boolean {
    return report.loading === undefined && findNextStep(target, report) === undefined;
}

/** Returns a command that changes nothing on an engine that has the version, but makes it refuse older commands. */
export function buildFenceStep(target: EndpointTarget): RolloutStep {
    return {
        command: {
            kind: EngineCommandKind.LoadVersion,
            fencingToken: target.generation,
            model: target.model,
            version: target.version.name,
        },
        needsSlot: false,
    };
}

function findVersionStep(target: EndpointTarget, report: EngineReport): RolloutStep | undefined {
    const step = buildFenceStep(target);
    if (report.version === target.version.name) {
        // A load of another version is in progress and would replace this one when it completes. The command aborts it.
        return report.loading === undefined ? undefined : step;
    }
    if (report.loading === target.version.name) {
        return undefined;
    }
    return { ...step, weights: target.version.weights, needsSlot: true };
}

function findAdapterStep(target: EndpointTarget, report: EngineReport): RolloutStep | undefined {
    const missing = target.adapters.find(adapter => !report.adapters.includes(adapter.name));
    const extra = report.adapters.find(name => !target.adapters.some(adapter => adapter.name === name));
    const fencingToken = target.generation;
    if (missing) {
        return {
            command: { kind: EngineCommandKind.LoadAdapter, fencingToken, adapter: missing.name },
            weights: missing.weights,
            needsSlot: false,
        };
    }
    return extra === undefined
        ? undefined
        : { command: { kind: EngineCommandKind.UnloadAdapter, fencingToken, adapter: extra }, needsSlot: false };
}

function findRoleStep(target: EndpointTarget, report: EngineReport): RolloutStep | undefined {
    return report.role === target.role
        ? undefined
        : {
            command: { kind: EngineCommandKind.ChangeRole, fencingToken: target.generation, role: target.role },
            needsSlot: false,
        };
}
