import { Decoder, Encoder } from "cbor-x";
import { EndpointLimit } from "../membership/endpointLimits.js";
import { CrashReport } from "../quarantine/crashEvidence.js";
import { QuarantineTerm } from "../quarantine/quarantineTerm.js";
import { WorkItem, WorkPhase } from "../routing/loadLedger.js";
import { findCustomer } from "../routing/workKey.js";

/** Report of a gateway to its peers about the work that it has dispatched. */
export interface LoadMessage {
    readonly host: string;
    /** Address at which the sender receives messages. */
    readonly address: string;
    /** Changes each time the sender starts. */
    readonly incarnation: string;
    /** Sequence number of the message within the incarnation. */
    readonly sequence: number;
    /**
     * Whether `items` replaces everything that the sender has reported. Otherwise it holds changes since the last
     * message.
     */
    readonly isSnapshot: boolean;
    readonly items: readonly WorkItem[];
    readonly removed: readonly string[];
    /** Recent endpoint crashes. */
    readonly crashes: readonly CrashReport[];
    readonly quarantines: readonly QuarantineTerm[];
    readonly limits: readonly EndpointLimit[];
}

const messageVersion = 3;
const options = { useRecords: false, tagUint8Array: false } as const;
const encoder = new Encoder(options);
const decoder = new Decoder(options);

type WireItem = [string, string, number, number, number, number, boolean, number, number, boolean];
/** Id, age, traits of each suspect, and how long it had been running. Older processes send and accept none of the last. */
type WireCrash = [string, number, string[][]] | [string, number, string[][], number[]];
type WireTerm = [string, boolean, number, number, number, number];
/** Endpoint, requests a second or `null` for no limit, and age. */
type WireLimit = [string, number | null, number];
type WireMessage = [
    number,
    string,
    string,
    string,
    number,
    boolean,
    WireItem[],
    string[],
    WireCrash[],
    WireTerm[],
    WireLimit[],
];

/**
 * Encodes a message. Times are sent relative to the time of sending, because the clocks of hosts differ.
 *
 * @example
 * socket.send(encodeLoadMessage(message, timers.now()), port, ip);
 */
export function encodeLoadMessage(message: LoadMessage, nowMs: number): Buffer {
    const wire: WireMessage = [
        messageVersion,
        message.host,
        message.address,
        message.incarnation,
        message.sequence,
        message.isSnapshot,
        message.items.map(item => encodeItem(item, nowMs)),
        [...message.removed],
        message.crashes.map(encodeCrash),
        message.quarantines.map(encodeTerm),
        message.limits.map(({ endpoint, perSecond, observedAtMs }) => [
            endpoint,
            perSecond ?? null,
            Math.round(nowMs - observedAtMs),
        ]),
    ];
    return encoder.encode(wire);
}

function encodeItem(item: WorkItem, nowMs: number): WireItem {
    return [
        item.key,
        item.endpoint,
        Math.round(item.prefillMs),
        Math.round(item.tokens),
        item.gapTargetMs ?? 0,
        Math.round(item.dueAtMs - nowMs),
        item.phase === WorkPhase.Decode,
        Math.round(nowMs - item.phaseSinceMs),
        // Work that outlasts its prediction counts at the receiver for as long as it is reported.
        Math.max(0, Math.round(item.endsAtMs - nowMs)),
        item.isSuspect,
    ];
}

function encodeCrash({ crash, ageMs, suspects, runningMs }: CrashReport): WireCrash {
    const traits = suspects.map(item => [...item]);
    return runningMs === undefined
        ? [crash, Math.round(ageMs), traits]
        : [crash, Math.round(ageMs), traits, runningMs.map(Math.round)];
}

function encodeTerm(term: QuarantineTerm): WireTerm {
    const { trait, isActive, decidedAtMs, untilMs, crashes, firstCrashAtMs } = term;
    return [trait, isActive, decidedAtMs, untilMs, crashes, firstCrashAtMs];
}

/** Decodes a message. Returns `undefined` for datagrams that are not valid messages. */
export function decodeLoadMessage(bytes: Buffer, nowMs: number): LoadMessage | undefined {
    const wire = decodeWire(bytes);
    if (!isWireMessage(wire)) {
        return undefined;
    }
    const [, host, address, incarnation, sequence, isSnapshot, items, removed, crashes, quarantines, limits] = wire;
    return {
        host,
        address,
        incarnation,
        sequence,
        isSnapshot,
        items: items.map(item => decodeItem(item, nowMs)),
        removed,
        crashes: crashes.map(([crash, ageMs, suspects, runningMs]) => ({
            crash,
            ageMs,
            suspects,
            ...(runningMs && { runningMs }),
        })),
        quarantines: quarantines.map(([trait, isActive, decidedAtMs, untilMs, crashCount, firstCrashAtMs]) => ({
            trait,
            isActive,
            decidedAtMs,
            untilMs,
            crashes: crashCount,
            firstCrashAtMs,
        })),
        limits: limits.map(([endpoint, perSecond, ageMs]) => ({
            endpoint,
            perSecond: perSecond ?? undefined,
            observedAtMs: nowMs - ageMs,
        })),
    };
}

function decodeWire(bytes: Buffer): unknown {
    try {
        return decoder.decode(bytes) as unknown;
    }
    catch {
        // Not CBOR, and thereby no message.
        return undefined;
    }
}

type Check = (value: unknown) => boolean;

const isText: Check = value => typeof value === "string";
const isNumber: Check = value => Number.isFinite(value);
const isFlag: Check = value => typeof value === "boolean";
const isVersion: Check = value => value === messageVersion;
const isAddress: Check = value => typeof value === "string" && /^\d+\.\d+\.\d+\.\d+:\d+$/u.test(value);
const isListOf = (isElement: Check): Check => value => Array.isArray(value) && value.every(isElement);
const isTupleOf = (...checks: readonly Check[]): Check => value =>
    Array.isArray(value) && value.length === checks.length && checks.every((check, index) => check(value[index]));

const isItem = isTupleOf(
    isText,
    isText,
    isNumber,
    isNumber,
    isNumber,
    isNumber,
    isFlag,
    isNumber,
    isNumber,
    isFlag,
);
const areSuspects = isListOf(isListOf(isText));
const isCrash: Check = value =>
    isTupleOf(isText, isNumber, areSuspects)(value)
    || isTupleOf(isText, isNumber, areSuspects, isListOf(isNumber))(value);
const isTerm = isTupleOf(isText, isFlag, isNumber, isNumber, isNumber, isNumber);
const isRate: Check = value => value === null || (isNumber(value) && (value as number) >= 0);
const isLimit = isTupleOf(isText, isRate, isNumber);
const isMessage = isTupleOf(
    isVersion,
    isText,
    isAddress,
    isText,
    isNumber,
    isFlag,
    isListOf(isItem),
    isListOf(isText),
    isListOf(isCrash),
    isListOf(isTerm),
    isListOf(isLimit),
);

/** Checks every field, because datagrams can come from anywhere. */
function isWireMessage(value: unknown): value is WireMessage {
    return isMessage(value);
}

function decodeItem(item: WireItem, nowMs: number): WorkItem {
    const [key, endpoint, prefillMs, tokens, gapTargetMs, dueInMs, isDecoding, phaseAgeMs, endsInMs, isSuspect] = item;
    const customer = findCustomer(key);
    return {
        key,
        endpoint,
        prefillMs,
        tokens,
        gapTargetMs: gapTargetMs > 0 ? gapTargetMs : undefined,
        dueAtMs: nowMs + dueInMs,
        phase: isDecoding ? WorkPhase.Decode : WorkPhase.Prefill,
        phaseSinceMs: nowMs - phaseAgeMs,
        endsAtMs: nowMs + endsInMs,
        isSuspect,
        ...(customer !== undefined && { customer }),
    };
}
