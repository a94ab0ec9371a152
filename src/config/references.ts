import { AdapterObject, ConfigurationObjects, EndpointObject, ObjectType } from "./objects.js";
import { ConfigurationProblem, formatFound, formatNames } from "./problems.js";

/**
 * Names that exist, as the keys of one object per type. Includes objects that do not match their schema, so that
 * references to them are not reported as further errors.
 */
export type ConfigurationNames = Readonly<Record<ObjectType, object>>;

/** Sections that contain references to each section, and must be checked again when that section changes. */
const referringSections: Readonly<Record<ObjectType, readonly ObjectType[]>> = {
    [ObjectType.Model]: [ObjectType.Version, ObjectType.Adapter, ObjectType.Endpoint],
    [ObjectType.Version]: [ObjectType.Model],
    [ObjectType.Adapter]: [ObjectType.Endpoint],
    [ObjectType.Rank]: [ObjectType.Kind, ObjectType.Customer, ObjectType.Service],
    [ObjectType.Kind]: [ObjectType.Customer],
    [ObjectType.Customer]: [],
    [ObjectType.Endpoint]: [],
    [ObjectType.Service]: [ObjectType.Endpoint],
};

/** Tolerance for floating-point rounding in sums of shares, such as 0.1 + 0.2. */
const shareTolerance = 1e-9;

type ReportProblem = (problem: ConfigurationProblem) => void;
type CheckName = (object: string, field: string, type: ObjectType, name: string) => boolean;

/** Lists the sections that must be checked again after a change: the changed ones and those that refer to them. */
export function listAffectedSections(changed: Iterable<ObjectType>): ReadonlySet<ObjectType> {
    return new Set([...changed].flatMap(type => [type, ...referringSections[type]]));
}

/**
 * Finds invalid references between objects, and violations of rules that involve several objects.
 *
 * @param names names that exist, if some objects were left out because they do not match their schema
 * @param sections sections to check; the others must already be known to be valid
 *
 * @example
 * findReferenceProblems(objects).map(formatProblem);
 */
export function findReferenceProblems(
    objects: ConfigurationObjects,
    names: ConfigurationNames = objects,
    sections: ReadonlySet<ObjectType> = new Set(Object.values(ObjectType)),
): readonly ConfigurationProblem[] {
    const problems: ConfigurationProblem[] = [];
    const report: ReportProblem = problem => problems.push(problem);

    function checkName(object: string, field: string, type: ObjectType, name: string): boolean {
        if (Object.hasOwn(names[type], name)) {
            return true;
        }
        const allowed = `a name in ${type}: ${formatNames(Object.keys(names[type]))}`;
        report({ object, field, found: formatFound(name), allowed });
        return false;
    }

    const checks: Readonly<Record<ObjectType, () => void>> = {
        [ObjectType.Model]: () => checkModels(objects, checkName, report),
        [ObjectType.Version]: () => checkOwners(objects, ObjectType.Version, checkName),
        [ObjectType.Adapter]: () => checkOwners(objects, ObjectType.Adapter, checkName),
        [ObjectType.Rank]: () => checkShares(objects, report),
        [ObjectType.Kind]: () => checkRanks(objects, ObjectType.Kind, checkName),
        [ObjectType.Customer]: () => checkCustomers(objects, checkName, report),
        [ObjectType.Endpoint]: () => checkEndpoints(objects, checkName, report),
        [ObjectType.Service]: () => checkRanks(objects, ObjectType.Service, checkName),
    };
    sections.forEach(section => checks[section]());
    return problems;
}

function checkOwners(
    objects: ConfigurationObjects,
    type: ObjectType.Version | ObjectType.Adapter,
    checkName: CheckName,
) {
    for (const [name, object] of Object.entries(objects[type])) {
        checkName(`${type}.${name}`, "model", ObjectType.Model, object.model);
    }
}

function checkRanks(objects: ConfigurationObjects, type: ObjectType.Kind | ObjectType.Service, checkName: CheckName) {
    for (const [name, object] of Object.entries<{ readonly rank: string }>(objects[type])) {
        checkName(`${type}.${name}`, "rank", ObjectType.Rank, object.rank);
    }
}

function checkEndpoints(objects: ConfigurationObjects, checkName: CheckName, report: ReportProblem) {
    for (const [name, endpoint] of Object.entries(objects.endpoints)) {
        checkEndpoint(`${ObjectType.Endpoint}.${name}`, endpoint, objects.adapters, checkName, report);
    }
}

function checkModels(objects: ConfigurationObjects, checkName: CheckName, report: ReportProblem) {
    for (const [name, model] of Object.entries(objects.models)) {
        const object = `${ObjectType.Model}.${name}`;
        if (!checkName(object, "version", ObjectType.Version, model.version)) {
            continue;
        }
        const owner = objects.versions[model.version]?.model;
        if (owner !== undefined && owner !== name) {
            const ownVersions = Object.entries(objects.versions).filter(([, version]) => version.model === name);
            report({
                object,
                field: "version",
                found: `${formatFound(model.version)}, a version of ${formatFound(owner)}`,
                allowed: `a version of this model: ${formatNames(ownVersions.map(([version]) => version))}`,
            });
        }
    }
}

function checkShares(objects: ConfigurationObjects, report: ReportProblem) {
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

function checkCustomers(objects: ConfigurationObjects, checkName: CheckName, report: ReportProblem) {
    const owners = new Map<string, string>();
    for (const [name, customer] of Object.entries(objects.customers)) {
        const object = `${ObjectType.Customer}.${name}`;
        customer.ranks.forEach((rank, index) => checkName(object, `ranks.${index}`, ObjectType.Rank, rank));
        checkName(object, "defaultKind", ObjectType.Kind, customer.defaultKind);
        customer.keyDigests.forEach((digest, index) => {
            const owner = owners.get(digest);
            if (owner !== undefined) {
                report({
                    object,
                    field: `keyDigests.${index}`,
                    found: `${formatFound(digest)}, also in ${ObjectType.Customer}.${owner}`,
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
    checkName: CheckName,
    report: ReportProblem,
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
            const ownAdapters = Object.entries(adapters).filter(([, adapter]) => adapter.model === endpoint.model);
            report({
                object,
                field,
                found: `${formatFound(name)}, an adapter of ${formatFound(model)}`,
                allowed: `an adapter of the endpoint's model: ${formatNames(ownAdapters.map(([adapter]) => adapter))}`,
            });
        }
    });
}
