import * as http from "node:http";
import * as net from "node:net";
import { createDisposable, createDisposableStore, Disposable } from "../base/disposable.js";
import { makeId } from "../base/ids.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { createMetrics, Metrics } from "../base/metrics.js";
import { RandomSource } from "../base/randomSource.js";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { makeFailure, makeSuccess, Result } from "../base/result.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { Verdict } from "../base/verdict.js";
import { Configuration } from "../config/objects.js";
import { LinkMessageType } from "../link/messages.js";
import { HostList, HostRecord } from "../ports/hostList.js";
import { LogService } from "../ports/logService.js";
import { createRetryBudget, defaultRetryBudgetSettings } from "../retries/retryBudget.js";
import { RoutingPolicy } from "../routing/routing.js";
import { createTokenEstimate } from "../routing/tokenEstimate.js";
import { createRequestLimits, LimitedRequest } from "../scheduling/requestLimits.js";
import { AttemptEvent, AttemptEventKind } from "./attempt.js";
import { ConfigurationSource } from "./configurationSource.js";
import { createCustomerAnswers } from "./customerAnswers.js";
import { createCustomerHandler, OperatorRoute } from "./customerServer.js";
import { EndpointLink, LinkState } from "./endpointLink.js";
import { sendError } from "./httpMessages.js";
import { ApertureFunction, createLinkDirectory, LinkDirectory } from "./linkDirectory.js";
import { createQuarantineManager } from "./quarantineManager.js";
import { InterruptibleTask, RequestListener, RequestPlan, RequestTask, startRequest } from "./requestTask.js";
import { createTicketIssuer } from "./ticketIssuer.js";

/** Settings of an entry. */
export interface EntrySettings {
    readonly name: string;
    readonly dataCentre: string;
    readonly linkKey: string;
    /** Key that signs tickets, shared by all entries; the link key if empty. */
    readonly ticketKey?: string;
    readonly heartbeatIntervalMs: number;
    readonly maxFrameBytes: number;
    readonly resumeGraceMs: number;
    readonly maxBodyBytes: number;
    readonly maxUnsentBytes: number;
    readonly maxRequests: number;
    /** Maximum total size of the request bodies that the entry holds, in bytes. */
    readonly maxHeldBytes: number;
    /** Time for which a draining entry still accepts requests after its health check fails, in milliseconds. */
    readonly drainDelayMs: number;
}

/** Dependencies of an entry. */
export interface EntryParts {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly hostList: HostList;
    readonly configuration: ConfigurationSource;
    /** Log in which entries share crashes of endpoints; absent if no log is configured. */
    readonly logService?: LogService;
    readonly policy: RoutingPolicy;
    readonly selectAperture: ApertureFunction;
    /** Reports to the policy how many tokens of a prefix an engine found in its cache. */
    readonly recordUsage?: (prefixDigest: string, cachedTokens: number) => void;
    readonly connect: (host: HostRecord) => net.Socket;
    /** Creates the operator routes, which report on the given state. */
    readonly createOperatorRoute: (state: EntryState) => OperatorRoute;
}

/** State of an entry that operator routes can read. */
export interface EntryState {
    readonly name: string;
    readonly dataCentre: string;
    readonly directory: LinkDirectory;
    readonly metrics: Metrics;
    getConfiguration(): Configuration | undefined;
    countRequests(): number;
}

/** An entry accepts HTTP requests of customers and dispatches them over links to sidecars. */
export interface Entry extends Disposable {
    readonly handler: http.RequestListener;
    readonly state: EntryState;
    /**
     * Fails the health check, continues to accept requests until the load balancer has reacted, then refuses new ones and
     * waits until every customer has its answer. Once nothing runs, a customer that does not send the rest of a body or does not read the
     * rest of an answer is waited for only for a limited time, longer as long as it goes on.
     *
     * @returns number of requests that were ended because their customers did not
     */
    drain(): Promise<number>;
    /** Ends all requests with an error that says whether they have run. Resolves when the customers have it. */
    interrupt(): Promise<void>;
}

const overloadRetryAfterMs = 1_000;
/** Another entry can serve the request at once; the delay allows a single one to be started again. */
const stoppingRetryAfterMs = 1_000;
const configurationSyncIntervalMs = 1_000;
/** Time that a stopping entry waits for customers that neither send nor read once no request runs, in milliseconds. */
const idleCustomerWaitMs = 10_000;
/** Longest time that a stopping entry waits for customers once no request runs, in milliseconds. */
const maxCustomerWaitMs = 60_000;
/** Longest time in which the customers of interrupted requests get their errors, in milliseconds. */
const interruptTimeoutMs = 1_000;
const drainCheckIntervalMs = 20;

/**
 * Creates an entry from its ports.
 *
 * @example
 * const entry = createEntry(settings, parts);
 * http.createServer(entry.handler).listen(8080);
 */
export function createEntry(settings: EntrySettings, parts: EntryParts): Entry {
    const { timers, log, configuration } = parts;
    const store = createDisposableStore();
    const metrics = createMetrics();
    const retryBudget = createRetryBudget(defaultRetryBudgetSettings);
    const tokenEstimate = createTokenEstimate();
    // Without a key a random one is used, so that tickets are valid at this entry only and until it stops.
    const tickets = createTicketIssuer(settings.ticketKey || settings.linkKey || makeId(), timers, log);
    const limits = createRequestLimits({ maxRequests: settings.maxRequests, maxBytes: settings.maxHeldBytes });
    const requests = new Set<InterruptibleTask>();
    const answers = createCustomerAnswers();
    let draining = false;
    let refusing = false;
    let decisionCount = 0;

    const sentChangeGenerations = new WeakMap<EndpointLink, number>();

    function syncConfiguration(link: EndpointLink) {
        const generation = configuration.getCurrent()?.generation ?? -1;
        if (link.getGeneration() > generation) {
            link.send({ type: LinkMessageType.ConfigurationRequest });
        }
        else if (link.getGeneration() < generation && link.getState() === LinkState.Open) {
            // If the changes sent at the previous check did not bring the sidecar to this generation, the complete
            // configuration is sent.
            const change = sentChangeGenerations.get(link) === generation
                ? undefined
                : configuration.buildChangeMessage(link.getGeneration());
            sentChangeGenerations.set(link, generation);
            link.send(change ?? configuration.buildMessage()!);
        }
    }

    const quarantineManager = store.register(createQuarantineManager({
        timers,
        log,
        metrics,
        logService: parts.logService,
        broadcast: message => directory.list().forEach(link => link.send(message)),
    }));
    const directory: LinkDirectory = createLinkDirectory({ ...settings, entry: settings.name, incarnation: makeId() }, {
        timers,
        random: parts.random,
        log,
        hostList: parts.hostList,
        selectAperture: parts.selectAperture,
        connect: parts.connect,
        listener: {
            handleOpened(link) {
                syncConfiguration(link);
                quarantineManager.listMessages().forEach(message => link.send(message));
            },
            handleConfiguration: message => configuration.offer(message),
            handleCrashReport: (unused, message) => quarantineManager.handleCrashReport(message),
        },
    });

    function observe(plan: RequestPlan, listener: RequestListener, startedMs: number): RequestListener {
        let isFirst = true;
        return received => {
            const event = appendTicket(plan, received, startedMs);
            if (event.kind === AttemptEventKind.Items && isFirst) {
                isFirst = false;
                const elapsedMs = timers.now() - startedMs;
                const help = "Time from admission to the first token.";
                metrics.recordDuration("jujubelane_first_token_seconds", help, elapsedMs, { rank: plan.rank });
            }
            listener(event);
            if (event.kind === AttemptEventKind.Completed && plan.model && event.usage) {
                tokenEstimate.record(plan.model.model, Buffer.byteLength(plan.model.prompt), event.usage.promptTokens);
                parts.recordUsage?.(plan.model.prefixDigest, event.usage.cachedTokens);
            }
            if (event.kind === AttemptEventKind.Completed || event.kind === AttemptEventKind.Failed) {
                const result = event.kind === AttemptEventKind.Failed ? event.error.code : "completed";
                metrics.count("jujubelane_requests_total", "Requests by rank and result.", { rank: plan.rank, result });
            }
        };
    }

    function appendTicket(plan: RequestPlan, event: AttemptEvent, startedMs: number): AttemptEvent {
        if (event.kind !== AttemptEventKind.Failed) {
            return event;
        }
        const waitedMs = plan.waitedMs + timers.now() - startedMs;
        return { ...event, error: tickets.appendTicket(event.error, plan, waitedMs) };
    }

    function reserveCapacity(request: LimitedRequest): Result<Disposable, RequestError> {
        const refusal = limits.acquire(request);
        if (refusal === undefined) {
            return makeSuccess(createDisposable(() => limits.release(request)));
        }
        const { rank, customer } = request;
        log(LogEvent.RequestRefused, { customer, rank, code: ErrorCode.Overloaded, limit: refusal });
        const message = `the entry holds too much work of this ${refusal}`;
        const details = { retryAfterMs: overloadRetryAfterMs };
        return makeFailure(buildRequestError(ErrorCode.Overloaded, message, Verdict.NotRun, details));
    }

    function start(plan: RequestPlan, listener: RequestListener): RequestTask {
        const observed = observe(plan, listener, timers.now());
        const progress = quarantineManager.followRequest(plan.traits);
        log(LogEvent.RequestAdmitted, {
            request: plan.id,
            customer: plan.customer,
            rank: plan.rank,
            kind: plan.kind,
            promptTokens: plan.model?.promptTokens,
            limitMs: plan.limitMs,
        });
        const task: InterruptibleTask = startRequest(plan, {
            timers,
            random: parts.random,
            log,
            directory,
            policy: parts.policy,
            dataCentre: settings.dataCentre,
            retryBudget,
            checkQuarantine: plan => quarantineManager.check(plan),
            countDecision: () => decisionCount++,
        }, event => {
            if (event.kind === AttemptEventKind.Completed || event.kind === AttemptEventKind.Failed) {
                // The request may end before startRequest returns.
                queueMicrotask(() => requests.delete(task));
            }
            progress.recordEvent(event);
            observed(event);
        });
        requests.add(task);
        return task;
    }

    async function waitForAnswers(): Promise<number> {
        let progressMs = timers.now();
        let runningMs = progressMs;
        let bytes = answers.countBytes();
        while (answers.count() > 0 || requests.size > 0) {
            await waitFor(timers, drainCheckIntervalMs);
            const nowMs = timers.now();
            const before = bytes;
            bytes = answers.countBytes();
            if (requests.size > 0) {
                runningMs = nowMs;
            }
            if (requests.size > 0 || bytes !== before) {
                progressMs = nowMs;
            }
            if (nowMs - progressMs >= idleCustomerWaitMs || nowMs - runningMs >= maxCustomerWaitMs) {
                const left = answers.count();
                answers.refuseUnread(response => sendError(response, buildStoppingError()));
                return left;
            }
        }
        return 0;
    }

    async function interrupt(): Promise<void> {
        refusing = true;
        const endMs = timers.now() + interruptTimeoutMs;
        answers.refuseUnread(response => sendError(response, buildStoppingError()));
        while (answers.count() > 0 && timers.now() < endMs) {
            requests.forEach(task => task.interrupt());
            await waitFor(timers, drainCheckIntervalMs);
        }
    }

    const state: EntryState = {
        name: settings.name,
        dataCentre: settings.dataCentre,
        directory,
        metrics,
        getConfiguration: () => configuration.getCurrent(),
        countRequests: () => requests.size,
    };
    metrics.registerGauge("jujubelane_requests_in_progress", "Requests in progress.", () => requests.size);
    metrics.registerGauge(
        "jujubelane_configuration_generation",
        "Generation of the configuration in force.",
        () => configuration.getCurrent()?.generation ?? -1,
    );

    store.register(directory);
    store.register(configuration.subscribe(current => {
        directory.update(current);
        limits.update(listRanks(current));
        directory.list().forEach(syncConfiguration);
    }));

    // Repeats configuration messages that were lost with their connection, in either direction.
    store.register(timers.subscribe(configurationSyncIntervalMs, () => directory.list().forEach(syncConfiguration)));

    return {
        state,
        handler: createCustomerHandler({
            maxBodyBytes: settings.maxBodyBytes,
            maxUnsentBytes: settings.maxUnsentBytes,
            timers,
            tokenEstimate,
            tickets,
            log,
            listViews: target => directory.listViews(target),
            wallNow: () => timers.wallNow(),
            reserveCapacity,
            start,
            getConfiguration: () => configuration.getCurrent(),
            isHealthy: () => !draining && configuration.getCurrent() !== undefined,
            checkStopping: () => refusing ? buildStoppingError() : undefined,
            followAnswer: (request, response) => answers.add(request, response),
            renderMetrics: () => metrics.render(),
            operatorRoute: parts.createOperatorRoute(state),
            reportFailure: error => log(LogEvent.TaskFailed, { task: "customer request", error: String(error) }),
        }),
        async drain() {
            draining = true;
            log(LogEvent.ProcessDraining, { requests: requests.size });
            answers.closeConnections();
            await waitFor(timers, settings.drainDelayMs);
            refusing = true;
            return waitForAnswers();
        },
        interrupt,
        dispose: () => store.dispose(),
    };
}

function buildStoppingError(): RequestError {
    const details = { retryAfterMs: stoppingRetryAfterMs };
    return buildRequestError(ErrorCode.Leaving, "the entry is stopping", Verdict.NotRun, details);
}

/** Names of the configured ranks, most urgent first. */
function listRanks(configuration: Configuration): string[] {
    return Object.entries(configuration.objects.ranks)
        .sort(([, left], [, right]) => left.urgency - right.urgency)
        .map(([name]) => name);
}
