import fc from "fast-check";

/** Seed and number of runs of a property. */
export interface FuzzSettings {
    readonly seed: number;
    readonly runs: number;
}

/** Names of the environment variables that `scripts/runFuzz.mjs` sets. */
const seedVariable = "JUJUBELANE_FUZZ_SEED";
const runsVariable = "JUJUBELANE_FUZZ_RUNS";

/** A run that takes longer hangs; it takes a fraction of a second. */
const runTimeoutMs = 60_000;
/** Bound of a property with the search for a smaller counterexample. */
const timeLimitMs = 20 * 60_000;

/** Reads the settings of a fuzz run from the environment. */
export function readFuzzSettings(): FuzzSettings {
    return { seed: Number(process.env[seedVariable] ?? 1), runs: Number(process.env[runsVariable] ?? 100) };
}

/**
 * Checks a property whose runs each return the interleaving that they went through. Throws with the seed and the
 * smallest counterexample; returns the number of different interleavings.
 */
export async function checkInterleavings<Input>(
    input: fc.Arbitrary<Input>,
    run: (input: Input) => Promise<string>,
    settings: FuzzSettings,
): Promise<number> {
    const interleavings = new Set<string>();
    await fc.assert(
        fc.asyncProperty(input, async value => {
            interleavings.add(await run(value));
        }),
        {
            seed: settings.seed,
            numRuns: settings.runs,
            timeout: runTimeoutMs,
            interruptAfterTimeLimit: timeLimitMs,
            markInterruptAsFailure: true,
        },
    );
    return interleavings.size;
}

/** Runs a property as the whole of a `.fuzz.ts` file and prints what it has covered. */
export async function runFuzzFile<Input>(
    name: string,
    input: fc.Arbitrary<Input>,
    run: (input: Input) => Promise<string>,
): Promise<void> {
    const settings = readFuzzSettings();
    const interleavings = await checkInterleavings(input, run, settings);
    console.log(`${name}: seed ${settings.seed}, ${settings.runs} runs, ${interleavings} different interleavings`);
}
