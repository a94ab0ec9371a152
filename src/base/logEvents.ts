/**
 * Numbered log events. The catalogue in docs/events.md lists each of them; a test compares the two.
 * Ranges: 1xxx entry and routing, 2xxx sidecar and scheduling, 3xxx configuration, 4xxx idempotency, 5xxx links and
 * membership, 6xxx rollout, 7xxx quarantine, 8xxx platform and stand-ins, 9xxx process.
 */
export enum LogEvent {
    RequestAdmitted = 1001,
    RequestRefused = 1002,
    EndpointChosen = 1003,
    RequestRetried = 1004,
    RequestEnded = 1005,
    WorkQueued = 2001,
    WorkRefused = 2002,
    WorkStarted = 2003,
    WorkEnded = 2004,
    DispatchTombstoned = 2005,
    LinkOpened = 5001,
    LinkClosed = 5002,
    LinkRefused = 5003,
    EndpointLeaving = 5004,
    LinkUnresponsive = 5005,
    ProcessPaused = 5006,
    LinkUnprotected = 5007,
    ProcessStarted = 9001,
    ProcessDraining = 9002,
    ProcessStopped = 9003,
    TaskFailed = 9004,
    SettingsRefused = 9005,
}
