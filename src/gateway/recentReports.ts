import { EndpointLimit } from "../membership/endpointLimits.js";
import { CrashReport } from "../quarantine/crashEvidence.js";
import { QuarantineTerm } from "../quarantine/quarantineTerm.js";
import { LoadMessage } from "./loadMessage.js";

/** What a load message reports besides work. */
export type Reports = Pick<LoadMessage, "crashes" | "quarantines" | "limits">;

export const noReports: Reports = { crashes: [], quarantines: [], limits: [] };

/** Crashes, quarantines and limits that this gateway has reported lately and repeats, because messages can be lost. */
export interface RecentReports {
    addCrash(report: CrashReport, nowMs: number): void;
    addTerm(term: QuarantineTerm, nowMs: number): void;
    addLimit(limit: EndpointLimit, nowMs: number): void;
    /** Lists what a snapshot repeats: recent crashes, and recent or, now and then, all quarantines and limits. */
    listForSnapshot(nowMs: number): Reports;
    /** Lists what is repeated to other cells, or `undefined` if there is nothing. */
    listRecent(nowMs: number): Reports | undefined;
    expire(nowMs: number): void;
}

/** Time for which snapshots repeat what was reported, in milliseconds. */
const repeatMs = 2_000;
/** Number of snapshots after which all quarantines and limits are sent again, to gateways that were cut off in the meantime. */
const snapshotsPerFullList = 4;
const quarantinesPerMessage = 20;
const limitsPerMessage = 40;
/** Largest number of crashes in one message; the rest of many crashes at once is sent with the next snapshots. */
const crashesPerMessage = 4;

interface Reported<Item> {
    readonly item: Item;
    readonly reportedAtMs: number;
}

/**
 * Creates the record without any report.
 *
 * @example
 * const recent = createRecentReports(() => registry.listTerms(), () => quota.list());
 * recent.addCrash(report, timers.now());
 */
export function createRecentReports(
    listQuarantines: () => readonly QuarantineTerm[],
    listLimits: () => readonly EndpointLimit[],
): RecentReports {
    let crashes: Reported<CrashReport>[] = [];
    let terms: Reported<QuarantineTerm>[] = [];
    let limits: Reported<EndpointLimit>[] = [];
    let snapshotCount = 0;

    function listCrashes(nowMs: number): CrashReport[] {
        return crashes.slice(-crashesPerMessage)
            .map(({ item, reportedAtMs }) => ({ ...item, ageMs: item.ageMs + nowMs - reportedAtMs }));
    }

    /** Selects the limits of one message. If there are more, each message has the next ones. */
    function selectLimits(all: readonly EndpointLimit[]): readonly EndpointLimit[] {
        if (all.length <= limitsPerMessage) {
            return all;
        }
        const start = (snapshotCount * limitsPerMessage) % all.length;
        return [...all, ...all].slice(start, start + limitsPerMessage);
    }

    function makeReports(
        nowMs: number,
        quarantines: readonly QuarantineTerm[],
        selected: readonly EndpointLimit[],
    ): Reports {
        return {
            crashes: listCrashes(nowMs),
            quarantines: quarantines.slice(-quarantinesPerMessage),
            limits: selected.slice(-limitsPerMessage),
        };
    }

    const listItems = <Item>(reported: readonly Reported<Item>[]) => reported.map(({ item }) => item);

    return {
        addCrash: (item, reportedAtMs) => void crashes.push({ item, reportedAtMs }),
        addTerm: (item, reportedAtMs) => void terms.push({ item, reportedAtMs }),
        addLimit(item, reportedAtMs) {
            limits = limits.filter(known => known.item.endpoint !== item.endpoint);
            limits.push({ item, reportedAtMs });
        },
        listForSnapshot(nowMs) {
            const isFullList = snapshotCount++ % snapshotsPerFullList === 0;
            return isFullList
                ? makeReports(nowMs, listQuarantines(), selectLimits(listLimits()))
                : makeReports(nowMs, listItems(terms), listItems(limits));
        },
        listRecent: nowMs =>
            crashes.length + terms.length + limits.length > 0
                ? makeReports(nowMs, listItems(terms), listItems(limits))
                : undefined,
        expire(nowMs) {
            const isRecent = ({ reportedAtMs }: Reported<unknown>) => nowMs - reportedAtMs < repeatMs;
            crashes = crashes.filter(isRecent);
            terms = terms.filter(isRecent);
            limits = limits.filter(isRecent);
        },
    };
}
