import { EventLog } from "../base/log.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { EndpointHealth } from "../membership/endpointHealth.js";
import { ExchangeCodec } from "../ports/exchange.js";
import { RetryBudget } from "../retries/retryBudget.js";
import { SlowdownEstimate } from "../routing/slowdownEstimate.js";
import { AnswerPace } from "../scheduling/answerPace.js";
import { AnswerEndings } from "./answerEnding.js";
import { CrashDetector } from "./crashDetector.js";
import { CustomerMetrics } from "./customerMetrics.js";
import { DrainControl } from "./drainControl.js";
import { EndpointConnections } from "./endpointConnections.js";
import { EndpointNoticeBoard } from "./endpointNoticeBoard.js";
import { EndpointQuota } from "./endpointQuota.js";
import { Hedging } from "./hedging.js";
import { PlacementQueue } from "./placementQueue.js";
import { QuarantineRegistry } from "./quarantineRegistry.js";
import { Reservations } from "./reservations.js";

/** Services that all request tasks share. */
export interface RequestServices {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly customerMetrics: CustomerMetrics;
    /** Data centre of this gateway. */
    readonly dataCentre: string;
    readonly codec: ExchangeCodec;
    readonly connections: EndpointConnections;
    readonly placementQueue: PlacementQueue;
    readonly health: EndpointHealth;
    readonly slowdownEstimate: SlowdownEstimate;
    readonly reservations: Reservations;
    readonly crashDetector: CrashDetector;
    readonly quarantineRegistry: QuarantineRegistry;
    readonly endpointQuota: EndpointQuota;
    readonly endpointNotices: EndpointNoticeBoard;
    readonly answerPace: AnswerPace;
    readonly answerEndings: AnswerEndings;
    readonly drainControl: DrainControl;
    readonly retryBudget: RetryBudget;
    readonly hedging: Hedging;
    readonly random: () => number;
    /** Called when the endpoint at an address turns out not to be the registered one, with the id of the one that answered. */
    readonly onMisdirected: (endpointId: string, answeredBy: string | undefined) => void;
}
