// Starts `jujubelane dev` from the binary, sends a completion, a streamed chat completion and a request to a plain service,
// and stops it.
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";

const binary = new URL("../dist/jujubelane", import.meta.url).pathname;
const startTimeoutMs = 15_000;
const key = "dev-key";
const child = spawn(binary, ["dev", "--port", "0"], { stdio: ["ignore", "pipe", "inherit"] });

function fail(message) {
    console.error(message);
    child.kill("SIGKILL");
    process.exit(1);
}

const timeout = setTimeout(() => fail("dev did not start in time"), startTimeoutMs);
const url = await new Promise((resolve, reject) => {
    createInterface({ input: child.stdout }).on("line", line => {
        const match = /^listening on (\S+)$/.exec(line);
        if (match) {
            resolve(match[1]);
        }
    });
    child.once("exit", code => reject(new Error(`dev exited with ${code}`)));
}).catch(error => fail(error.message));
clearTimeout(timeout);

function send(path, body, headers = {}) {
    return fetch(`${url}${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json", ...headers },
        body: JSON.stringify(body),
    });
}

const prompt = "word ".repeat(800);
const plain = await send("/v1/completions", { model: "demo", prompt, max_tokens: 8 });
if (plain.status !== 200) {
    fail(`completion failed: ${plain.status} ${await plain.text()}`);
}
const answer = await plain.json();
console.log(`completion of a ${answer.usage.prompt_tokens}-token prompt: ${JSON.stringify(answer.choices[0].text)}`);

const streamed = await send("/v1/chat/completions", {
    model: "demo",
    messages: [{ role: "user", content: "hello" }],
    max_tokens: 8,
    stream: true,
});
const events = (await streamed.text()).split("\n\n").filter(event => event.startsWith("data: "));
if (streamed.status !== 200 || events.at(-1) !== "data: [DONE]") {
    fail("the stream did not end with its final event");
}
console.log(`streamed answer of ${events.length} events`);

const booking = await send("/v1/services/bookings/crews", { crew: 7 }, {});
if (booking.status !== 200) {
    fail(`booking failed: ${booking.status} ${await booking.text()}`);
}
console.log(`booking answered: ${await booking.text()}`);

const exited = new Promise(resolve => child.once("exit", resolve));
child.kill("SIGTERM");
const code = await exited;
if (code !== 0) {
    fail(`dev exited with ${code} after SIGTERM`);
}
console.log("demonstration passed");
