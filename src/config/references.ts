import { AdapterObject, ConfigurationObjects, EndpointObject, ObjectType } from "./objects.js";
import { ConfigurationProblem, formatFound, formatNames } from "./problems.js";

/** Names that exist, by type. Contains objects that fail their schema, so that one mistake is reported once. */
export type ConfigurationNames = Readonly<Record<ObjectType, ReadonlySet<string>>>;

/** Sums of shares such as 0.1 + 0.2 exceed the exact sum by less than this. */
const shareTolerance = 1e-9;

type Report = (problem: ConfigurationProblem) => void;
type Expect = (object: string, field: string, type: ObjectType, name: string) => boolean;

/** Returns the names of all objects of a set. */
export function collectNames(objects: ConfigurationObjects): ConfigurationNames {
    const names = {} as Record<ObjectType, ReadonlySet<string>>;
    for (const type of Object.values(ObjectType)) {
        names[type] = new Set(Object.keys(objects[type]));
    }
    return names;
}

/**
 * Finds every reference of a set that does not hold, and rules that concern several objects.
 *
 * @example
 * findReferenceProblems(objects).map(formatProblem);
 */
export function findReferenceProblems(
    objects: ConfigurationObjects,
    names: ConfigurationNames = collectNames(objects),
): readonly ConfigurationProblem[] {
    const problems: ConfigurationProblem[] = [];
    const report: Report = problem => problems.push(problem);

    function checkName(object: string, field: string, type: ObjectType, name: string): boolean {
        if (names[type].has(name)) {
            return true;
        }
        report({ object, field, found: formatFound(name), allowed: `a name in ${type}: ${formatNames(names[type])}` });
        return false;
    }

    checkModels(objects, checkName, report);
    for (const type of [ObjectType.Version, ObjectType.Adapter] as const) {
        for (const [name, object] of Object.entries(objects[type])) {
            checkName(`${type}.${name}`, "model", ObjectType.Model, object.model);
        }
    }
    for (const [name, kind] of Object.entries(objects.kinds)) {
        checkName(`${ObjectType.Kind}.${name}`, "rank", ObjectType.Rank, kind.rank);
    }
    for (const [name, service] of Object.entries(objects.services)) {
        checkName(`${ObjectType.Service}.${name}`, "rank", ObjectType.Rank, service.rank);
    }
    checkShares(objects, report);
    checkCallers(objects, checkName, report);
    for (const [name, endpoint] of Object.entries(objects.endpoints)) {
        checkEndpoint(`${ObjectType.Endpoint}.${name}`, endpoint, objects.adapters, checkName, report);
    }
    return problems;
}

function checkModels(objects: ConfigurationObjects, checkName: Expect, report: Report) {
    for (const [name, model] of Object.entries(objects.models)) {
        const object = `${ObjectType.Model}.${name}`;
        if (!checkName(object, "version", ObjectType.Version, model.version)) {
            continue;
        }
        const owner = objects.versions[model.version]?.model;
        if (owner !== undefined && owner !== name) {
            const own = Object.entries(objects.versions).filter(([, version]) => version.model === name);
            report({
                object,
                field: "version",
                found: `${formatFound(model.version)}, a version of ${formatFound(owner)}`,
                allowed: `a version of this model: ${formatNames(own.map(([version]) => version))}`,
            });
        }
    }
}

function checkShares(objects: ConfigurationObjects, report: Report) {
    const ranks = Object.entries(objects.ranks);
    const sum = ranks.reduce((total, [, rank]) => total + rank.share, 0);
    if (sum > 1 + shareTolerance) {
        const terms = ranks.map(([name, rank]) => `${name} ${rank.share}`).join(", ");
        report({
            object: ObjectType.Rank,
            field: "share",
            found: `a sum of ${Number(sum.toFixed(6))} (${terms})`,
            allowed: "guaranteed shares whose sum is at most 1",
        });
    }
}

function checkCallers(objects: ConfigurationObjects, checkName: Expect, report: Report) {
    const owners = new Map<string, string>();
    for (const [name, caller] of Object.entries(objects.callers)) {
        const object = `${ObjectType.Caller}.${name}`;
        caller.ranks.forEach((rank, index) => checkName(object, `ranks.${index}`, ObjectType.Rank, rank));
        checkName(object, "defaultKind", ObjectType.Kind, caller.defaultKind);
        caller.keyDigests.forEach((digest, index) => {
            const owner = owners.get(digest);
            if (owner !== undefined) {
                report({
                    object,
                    field: `keyDigests.${index}`,
                    found: `${formatFound(digest)}, also in ${ObjectType.Caller}.${owner}`,
                    allowed: "a key digest that appears once",
                });
            }
            owners.set(digest, name);
        });
    }
}

function checkEndpoint(
    object: string,
    endpoint: EndpointObject,
    adapters: Readonly<Record<string, AdapterObject>>,
    checkName: Expect,
    report: Report,
) {
    if (endpoint.model !== undefined) {
        checkName(object, "model", ObjectType.Model, endpoint.model);
    }
    if (endpoint.service !== undefined) {
        checkName(object, "service", ObjectType.Service, endpoint.service);
    }
    endpoint.adapters.forEach((name, index) => {
        const field = `adapters.${index}`;
        if (!checkName(object, field, ObjectType.Adapter, name)) {
            return;
        }
        const model = adapters[name]?.model;
        if (model !== undefined && model !== endpoint.model) {
            const own = Object.entries(adapters).filter(([, adapter]) => adapter.model === endpoint.model);
            report({
                object,
                field,
                found: `${formatFound(name)}, an adapter of ${formatFound(model)}`,
                allowed: `an adapter of the endpoint's model: ${formatNames(own.map(([adapter]) => adapter))}`,
            });
        }
    });
}
