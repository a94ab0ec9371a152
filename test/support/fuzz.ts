import fc from "fast-check";

/** Random seed of a property test and the number of its runs. */
export interface FuzzSettings {
    readonly seed: number;
    readonly runs: number;
}

/** Names of the environment variables that `scripts/runFuzz.mjs` sets. */
const seedVariable = "JUJUBELANE_FUZZ_SEED";
const runsVariable = "JUJUBELANE_FUZZ_RUNS";

/** A run takes a fraction of a second; one that takes longer than this hangs. */
const runTimeoutMs = 60_000;
/** Time limit of a property test, including the search for a smaller counterexample. */
const timeLimitMs = 20 * 60_000;

/** Reads the settings of a fuzz run from the environment. */
export function readFuzzSettings(): FuzzSettings {
    return { seed: Number(process.env[seedVariable] ?? 1), runs: Number(process.env[runsVariable] ?? 100) };
}

/**
 * Checks a property whose runs each return a description of the interleaving that they executed. Throws an error with
 * the seed and the smallest counterexample; returns the number of different interleavings.
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

/** Runs the property of a `.fuzz.ts` file and prints the number of interleavings that it covered. */
export async function runFuzzFile<Input>(
    name: string,
    input: fc.Arbitrary<Input>,
    run: (input: Input) => Promise<string>,
): Promise<void> {
    const settings = readFuzzSettings();
    const interleavings = await checkInterleavings(input, run, settings);
    console.log(`${name}: seed ${settings.seed}, ${settings.runs} runs, ${interleavings} different interleavings`);
}
