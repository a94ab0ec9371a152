// Compiles and bundles the sources into the single executable dist/jujubelane.
import { execFileSync } from "node:child_process";

const root = new URL("..", import.meta.url).pathname;
for (const command of ["node_modules/.bin/tsc -p tsconfig.json", "node scripts/bundle.mjs"]) {
    const [program, ...args] = command.split(" ");
    execFileSync(program, args, { cwd: root, stdio: "inherit" });
}
