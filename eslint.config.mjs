import tseslint from "typescript-eslint";

/** Layers from lowest to highest. A file imports only from its own layer or a lower one. */
const layers = [
    ["base"],
    ["ports"],
    ["config", "routing", "scheduling", "idempotency", "membership", "rollout", "quarantine", "retries"],
    ["link", "adapters"],
    ["entry", "sidecar", "gateway"],
    ["emulator", "load"],
    ["cli"],
];

const decisionFolders = layers[2];

function forbidHigherLayers(layerIndex) {
    const higher = layers.slice(layerIndex + 1).flat();
    return layers[layerIndex].map(folder => ({
        files: [`src/${folder}/**/*.ts`],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [
                    ...(higher.length === 0 ? [] : [{
                        group: higher.map(name => `**/${name}/**`),
                        message: `src/${folder} must not import a higher layer.`,
                    }]),
                    ...(decisionFolders.includes(folder)
                        ? [{
                            group: [
                                "node:net",
                                "node:http",
                                "node:https",
                                "node:tls",
                                "node:fs",
                                "node:fs/*",
                                "node:timers*",
                                "undici",
                                "debug",
                                "**/base/systemTimerService.js",
                                "**/base/log.js",
                                "**/base/systemRandomSource.js",
                            ],
                            message: "Decision modules receive time, randomness and I/O results as arguments.",
                        }]
                        : []),
                ],
            }],
        },
    }));
}

const noAmbientTime = [
    "error",
    {
        selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
        message: "Use the timer service.",
    },
    {
        selector: "CallExpression[callee.object.name='Math'][callee.property.name='random']",
        message: "Use a random source.",
    },
    { selector: "CallExpression[callee.name=/^set(Timeout|Interval)$/]", message: "Use the timer service." },
];

export default tseslint.config(
    { ignores: ["out/**", "dist/**", "target/**", "node_modules/**", "scripts/**", "eslint.config.mjs"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        linterOptions: { reportUnusedDisableDirectives: "error" },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "quotes": ["error", "double", { avoidEscape: true }],
            "no-restricted-syntax": noAmbientTime,
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "complexity": ["error", 16],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^$" }],
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "function", format: ["camelCase"] },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "variable", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    ...layers.flatMap((_, index) => forbidHigherLayers(index)),
    {
        // The folder `platform` stands above all layers: nothing in `src` knows the platform's names.
        files: ["src/**/*.ts"],
        rules: {
            "@typescript-eslint/no-restricted-imports": ["error", {
                patterns: [{ regex: "(^|/)platform/", message: "Only platform/ knows the platform." }],
            }],
        },
    },
    {
        files: ["src/base/systemTimerService.ts"],
        rules: { "no-restricted-syntax": "off" },
    },
    {
        files: ["test/**/*.ts", "bench/**/*.ts"],
        rules: {
            "no-restricted-syntax": "off",
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [{
                    from: "package",
                    package: "node:test",
                    name: ["test", "describe", "it", "suite"],
                }],
            }],
        },
    },
);
