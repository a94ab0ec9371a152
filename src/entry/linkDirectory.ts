import * as net from "node:net";
import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { RandomSource } from "../base/randomSource.js";
import { TimerService } from "../base/timerService.js";
import { Configuration, EndpointObject } from "../config/objects.js";
import { HostList, HostRecord, HostState } from "../ports/hostList.js";
import { EndpointView } from "../routing/routing.js";
import { EndpointLink, EndpointLinkListener, EndpointLinkSettings, LinkState } from "./endpointLink.js";
import { createEndpointLink } from "./endpointLinkTask.js";

/** Selects the endpoints that this entry links to from all configured endpoints. */
export type ApertureFunction = (
    endpoints: readonly (readonly [string, EndpointObject])[],
) => readonly (readonly [string, EndpointObject])[];

/** Dependencies of a link directory. */
export interface LinkDirectoryParts {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly hostList: HostList;
    readonly selectAperture: ApertureFunction;
    /** Opens a socket to a sidecar. */
    readonly connect: (host: HostRecord) => net.Socket;
    readonly listener: EndpointLinkListener;
}

/** The links of an entry, kept in sync with the configuration and the host list. */
export interface LinkDirectory extends Disposable {
    update(configuration: Configuration): void;
    get(endpoint: string): EndpointLink | undefined;
    list(): readonly EndpointLink[];
    /** Returns views of the linked endpoints that serve a model or a service. */
    listViews(target: { readonly model?: string; readonly service?: string }): readonly EndpointView[];
}

interface LinkRecord {
    readonly link: EndpointLink;
    readonly address: string;
    object: EndpointObject;
    /** Set when the endpoint is no longer selected: it gets no new requests, and the link closes after the last one. */
    retired: boolean;
}

const hostListIntervalMs = 1_000;
const noPrefixes: ReadonlySet<string> = new Set();

/**
 * Creates the directory of an entry's links.
 *
 * @example
 * const directory = createLinkDirectory(settings, parts);
 * directory.update(configuration);
 */
export function createLinkDirectory(settings: EndpointLinkSettings, parts: LinkDirectoryParts): LinkDirectory {
    const store = createDisposableStore();
    const linkRecords = new Map<string, LinkRecord>();
    let hosts = new Map<string, HostRecord>();
    let desiredEndpoints: ReadonlyMap<string, EndpointObject> = new Map();

    function openLink(name: string, object: EndpointObject, host: HostRecord) {
        const link = createEndpointLink(
            name,
            () => parts.connect(host),
            settings,
            parts.timers,
            parts.random,
            parts.log,
            parts.listener,
        );
        linkRecords.set(name, { link, address: `${host.address}:${host.port}`, object, retired: false });
    }

    function closeLink(name: string) {
        const record = linkRecords.get(name);
        linkRecords.delete(name);
        record?.link.dispose();
    }

    function reconcile() {
        for (const [name, record] of linkRecords) {
            const host = hosts.get(desiredEndpoints.get(name)?.host ?? "");
            const moved = host && `${host.address}:${host.port}` !== record.address;
            // A host that is missing from the list is treated as alive while its link is open or has requests.
            const isUnused = record.link.getOutstanding().requests === 0;
            const isIdle = isUnused && record.link.getState() !== LinkState.Open;
            record.retired = !desiredEndpoints.has(name);
            if ((record.retired && isUnused) || (isIdle && (moved || !host))) {
                closeLink(name);
            }
        }
        for (const [name, object] of desiredEndpoints) {
            const host = hosts.get(object.host);
            const record = linkRecords.get(name);
            if (record) {
                record.object = object;
            }
            else if (host) {
                openLink(name, object, host);
            }
        }
    }

    async function refreshHosts() {
        try {
            hosts = new Map((await parts.hostList.read()).map(host => [host.name, host]));
            reconcile();
        }
        catch (error) {
            parts.log(LogEvent.TaskFailed, { task: "host list", error: String(error) });
        }
    }

    function makeView(name: string, record: LinkRecord): EndpointView {
        const { link, object } = record;
        const outstanding = link.getOutstanding();
        const load = link.getLoad();
        // A sidecar refuses every request until it has received its first configuration.
        const isConfigured = link.getGeneration() >= 0;
        // A sidecar reports no version while its engine does not accept requests.
        const isServing = object.model === undefined || load === undefined || load.version !== undefined;
        const isHostLeaving = hosts.get(object.host)?.state === HostState.Leaving;
        return {
            name,
            dataCentre: object.dataCentre,
            available: isConfigured && isServing && !record.retired && !link.isLeaving() && !isHostLeaving
                && link.getState() === LinkState.Open,
            load,
            loadAgeMs: link.getLoadAgeMs(),
            outstandingRequests: outstanding.requests,
            dispatched: outstanding.dispatched,
            latencyMs: link.getLatencyMs(),
            warmPrefixes: noPrefixes,
        };
    }

    void refreshHosts();
    store.register(parts.timers.subscribe(hostListIntervalMs, () => void refreshHosts()));

    return {
        update(next) {
            desiredEndpoints = new Map(parts.selectAperture(Object.entries(next.objects.endpoints)));
            reconcile();
        },
        get: endpoint => linkRecords.get(endpoint)?.link,
        list: () => [...linkRecords.values()].map(entry => entry.link),
        listViews: target =>
            [...linkRecords]
                .filter(([, { object }]) => object.model === target.model && object.service === target.service)
                .map(([name, record]) => makeView(name, record)),
        dispose() {
            store.dispose();
            for (const name of [...linkRecords.keys()]) {
                closeLink(name);
            }
        },
    };
}
