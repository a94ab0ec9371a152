/** Where a fact about an endpoint was learned, as logged. */
export enum NoticeSource {
    /** An answer that this gateway received. */
    Answer = "answer",
    Gateway = "gateway",
}

/** One lifetime of an endpoint's process. */
export interface EndpointIncarnation {
    readonly endpoint: string;
    /** Start time in milliseconds since the Unix epoch; absent if the endpoint does not report it. */
    readonly startedAtMs?: number;
}

/** An endpoint has announced that it leaves. Its incarnation cannot take this back. */
export interface LeavingNotice extends EndpointIncarnation {
    /** Service of the endpoint, once its registration was read. */
    readonly service?: string;
    readonly source: NoticeSource;
    /** Time of the observation, on the monotonic clock. */
    readonly observedAtMs: number;
}

/** An endpoint has announced that it has no capacity for some time. */
export interface FullNotice extends EndpointIncarnation {
    readonly source: NoticeSource;
    readonly observedAtMs: number;
    /** End of that time, on the monotonic clock. */
    readonly untilMs: number;
}

/** Why a notice is no longer kept. */
export enum NoticeEnd {
    /** Its time is over. */
    Expired = "expired",
    /** A later incarnation of the endpoint has registered. */
    Restarted = "restarted",
    /** There are more notices than are kept. */
    Evicted = "evicted",
}

/** A notice that is no longer kept. */
export interface EndedNotice<Notice> {
    readonly notice: Notice;
    readonly end: NoticeEnd;
}

/** Result of recording a notice. */
export interface RecordedNotice<Notice> {
    /** Whether nothing of the kind was in force for the incarnation. */
    readonly isNew: boolean;
    readonly ended: readonly EndedNotice<Notice>[];
}

/** What the registrations say of an endpoint. */
export type FindRegistered = (
    endpoint: string,
) => { readonly startedAtMs?: number; readonly service: string } | undefined;

/** Endpoints that have announced that they leave. */
export interface LeavingEndpoints {
    record(notice: LeavingNotice): RecordedNotice<LeavingNotice>;
    has(incarnation: EndpointIncarnation): boolean;
    find(incarnation: EndpointIncarnation): LeavingNotice | undefined;
    /** Compares the notices with the registrations, and drops those that have ended. */
    refresh(findRegistered: FindRegistered, nowMs: number): readonly EndedNotice<LeavingNotice>[];
    /** Lists the notices of endpoints that are registered, or were within the last 30 s. */
    listCurrent(nowMs: number): readonly LeavingNotice[];
    count(): number;
}

/** Endpoints that are full for some time. */
export interface FullEndpoints {
    /** Records a notice. Of two notices for one incarnation, the later end holds. */
    record(notice: FullNotice): RecordedNotice<FullNotice>;
    /** Returns when the time of an endpoint ends, or minus infinity, on the monotonic clock. */
    getUntilMs(incarnation: EndpointIncarnation): number;
    find(incarnation: EndpointIncarnation): FullNotice | undefined;
    expire(nowMs: number): readonly EndedNotice<FullNotice>[];
    list(): readonly FullNotice[];
    count(): number;
}

/** Notices of one kind that are kept. There are at most some thousand endpoints, of which few leave at a time. */
const maxNotices = 1_024;
/** Time for which a notice is repeated to other gateways after its endpoint's registration has ended, in milliseconds. */
const repeatAfterRegistrationMs = 30_000;
/**
 * Time for which a notice binds after its endpoint's registration has ended, in milliseconds. A process that leaves ends
 * within minutes, and its registration can come back as long as it lives. Longer than the time for which other gateways
 * repeat the notice, so that a repeat does not begin it anew.
 */
const memoryMs = 600_000;

function renderKey({ endpoint, startedAtMs }: EndpointIncarnation): string {
    return `${endpoint} ${startedAtMs ?? ""}`;
}

/**
 * Returns whether the registration of an endpoint is that of a later incarnation.
 *
 * @example
 * isSuperseded({ endpoint: "engine-1", startedAtMs: 1_000 }, { startedAtMs: 2_000 }); // true
 */
export function isSuperseded(
    { startedAtMs }: EndpointIncarnation,
    registered: { readonly startedAtMs?: number } | undefined,
): boolean {
    return startedAtMs !== undefined && registered?.startedAtMs !== undefined && registered.startedAtMs > startedAtMs;
}

interface KeptLeavingNotice {
    notice: LeavingNotice;
    isRegistered: boolean;
    /** Time of the observation, or of the last registration if that is later. */
    lastKnownAtMs: number;
}

/**
 * Creates an empty set of leaving endpoints.
 *
 * @example
 * leaving.record({ endpoint: "engine-1", startedAtMs, source: NoticeSource.Answer, observedAtMs: timers.now() });
 * leaving.has({ endpoint: "engine-1", startedAtMs }); // true, until a later incarnation has registered
 */
export function createLeavingEndpoints(limit = maxNotices): LeavingEndpoints {
    const kept = new Map<string, KeptLeavingNotice>();

    /** Drops the oldest notice, of an endpoint without registration if there is one. */
    function removeOldest(): EndedNotice<LeavingNotice> {
        const [key, { notice }] = [...kept].find(([, item]) => !item.isRegistered) ?? [...kept][0]!;
        kept.delete(key);
        return { notice, end: NoticeEnd.Evicted };
    }

    /** Without a start time, another incarnation can only be told by the time without a registration. */
    function decideEnd(
        { notice, lastKnownAtMs }: KeptLeavingNotice,
        findRegistered: FindRegistered,
        nowMs: number,
    ): NoticeEnd | undefined {
        if (isSuperseded(notice, findRegistered(notice.endpoint))) {
            return NoticeEnd.Restarted;
        }
        const keptMs = notice.startedAtMs === undefined ? repeatAfterRegistrationMs : memoryMs;
        return nowMs - lastKnownAtMs > keptMs ? NoticeEnd.Expired : undefined;
    }

    return {
        record(notice) {
            const key = renderKey(notice);
            if (kept.has(key)) {
                return { isNew: false, ended: [] };
            }
            const ended = kept.size >= limit ? [removeOldest()] : [];
            kept.set(key, {
                notice,
                isRegistered: notice.source !== NoticeSource.Gateway,
                lastKnownAtMs: notice.observedAtMs,
            });
            return { isNew: true, ended };
        },
        find: incarnation => kept.get(renderKey(incarnation))?.notice,
        has: incarnation => kept.size > 0 && kept.has(renderKey(incarnation)),
        refresh(findRegistered, nowMs) {
            const ended: EndedNotice<LeavingNotice>[] = [];
            for (const [key, item] of kept) {
                const registered = findRegistered(item.notice.endpoint);
                item.isRegistered = registered?.startedAtMs === item.notice.startedAtMs && registered !== undefined;
                if (item.isRegistered) {
                    item.lastKnownAtMs = nowMs;
                    item.notice = { ...item.notice, service: registered!.service };
                }
                const end = decideEnd(item, findRegistered, nowMs);
                if (end !== undefined) {
                    kept.delete(key);
                    ended.push({ notice: item.notice, end });
                }
            }
            return ended;
        },
        listCurrent: nowMs =>
            [...kept.values()].filter(item => nowMs - item.lastKnownAtMs <= repeatAfterRegistrationMs)
                .map(item => item.notice),
        count: () => kept.size,
    };
}

/**
 * Creates an empty set of full endpoints.
 *
 * @example
 * full.record({ endpoint: "engine-1", source: NoticeSource.Answer, observedAtMs: 0, untilMs: 2_000 });
 * full.getUntilMs({ endpoint: "engine-1" }); // 2_000
 */
export function createFullEndpoints(limit = maxNotices): FullEndpoints {
    const kept = new Map<string, FullNotice>();

    /** Drops the notice that would end first. */
    function removeFirstToEnd(): EndedNotice<FullNotice> {
        const [key, notice] = [...kept].reduce((first, item) => item[1].untilMs < first[1].untilMs ? item : first);
        kept.delete(key);
        return { notice, end: NoticeEnd.Evicted };
    }

    return {
        record(notice) {
            const key = renderKey(notice);
            const known = kept.get(key);
            if (known) {
                if (notice.untilMs > known.untilMs) {
                    kept.set(key, notice);
                }
                return { isNew: false, ended: [] };
            }
            const ended = kept.size >= limit ? [removeFirstToEnd()] : [];
            kept.set(key, notice);
            return { isNew: true, ended };
        },
        find: incarnation => kept.get(renderKey(incarnation)),
        getUntilMs: incarnation =>
            (kept.size > 0 ? kept.get(renderKey(incarnation))?.untilMs : undefined) ?? Number.NEGATIVE_INFINITY,
        expire(nowMs) {
            const ended = [...kept].filter(([, notice]) => notice.untilMs <= nowMs);
            ended.forEach(([key]) => kept.delete(key));
            return ended.map(([, notice]) => ({ notice, end: NoticeEnd.Expired }));
        },
        list: () => [...kept.values()],
        count: () => kept.size,
    };
}
