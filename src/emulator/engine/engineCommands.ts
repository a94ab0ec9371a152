import {
    EngineCommand,
    EngineCommandKind,
    EngineCommandResult,
    EngineCommandResultKind,
} from "../../ports/modelEngine.js";

/** What an emulated engine serves at startup and how it handles commands. */
export interface EngineCommandSettings {
    readonly model: string;
    /** Version that is loaded at each start of the engine. */
    readonly version: string;
    /** Whether a command with an old fencing token is refused. */
    readonly checksFencing: boolean;
    /** Time that a version takes to load, in milliseconds; the old one serves meanwhile. */
    readonly loadingMs: number;
    readonly adapterLoadingMs: number;
}

/** What an emulated engine serves now. */
export interface EngineIdentity {
    readonly version: string;
    readonly adapters: readonly string[];
    readonly role: string;
    readonly loading: string | undefined;
}

/** State of an emulated engine that commands change. */
export interface EngineCommands {
    apply(command: EngineCommand, nowMs: number): EngineCommandResult;
    get(nowMs: number): EngineIdentity;
}

/**
 * Creates the state that commands change. A later command replaces a version that is still loading.
 *
 * @example
 * const commands = createEngineCommands(settings);
 * commands.apply({ kind: EngineCommandKind.LoadVersion, fencingToken: 4, version: "v2" }, timers.now());
 */
export function createEngineCommands(settings: EngineCommandSettings): EngineCommands {
    let version = settings.version;
    let loading: { readonly version: string; readonly readyMs: number } | undefined;
    let role = "general";
    /** Time from which an adapter can be used, by name. */
    const adapters = new Map<string, number>();
    let newestFencingToken = -1;

    function refuse(message: string): EngineCommandResult {
        return { kind: EngineCommandResultKind.Refused, message };
    }

    function finishLoading(nowMs: number) {
        if (loading && loading.readyMs <= nowMs) {
            version = loading.version;
            loading = undefined;
        }
    }

    function loadVersion(next: string, nowMs: number) {
        if (next === version) {
            loading = undefined;
        }
        else if (loading?.version !== next) {
            loading = { version: next, readyMs: nowMs + settings.loadingMs };
        }
        finishLoading(nowMs);
    }

    function run(command: EngineCommand, nowMs: number): EngineCommandResult {
        const { version: next, adapter, role: nextRole } = command;
        if (command.kind === EngineCommandKind.LoadVersion && next !== undefined) {
            loadVersion(next, nowMs);
        }
        else if (command.kind === EngineCommandKind.LoadAdapter && adapter !== undefined) {
            adapters.set(adapter, adapters.get(adapter) ?? nowMs + settings.adapterLoadingMs);
        }
        else if (command.kind === EngineCommandKind.UnloadAdapter && adapter !== undefined) {
            adapters.delete(adapter);
        }
        else if (command.kind === EngineCommandKind.ChangeRole && nextRole !== undefined) {
            role = nextRole;
        }
        else {
            return refuse(`malformed command ${String(command.kind)}`);
        }
        return { kind: EngineCommandResultKind.Accepted };
    }

    return {
        apply(command, nowMs) {
            finishLoading(nowMs);
            if (settings.checksFencing && command.fencingToken < newestFencingToken) {
                return { kind: EngineCommandResultKind.Stale, newest: newestFencingToken };
            }
            if (command.model !== undefined && command.model !== settings.model) {
                return refuse(`the engine runs model ${settings.model}`);
            }
            newestFencingToken = Math.max(newestFencingToken, command.fencingToken);
            return run(command, nowMs);
        },
        get(nowMs) {
            finishLoading(nowMs);
            const usable = [...adapters].filter(([, readyMs]) => readyMs <= nowMs).map(([name]) => name);
            return { version, adapters: usable, role, loading: loading?.version };
        },
    };
}
