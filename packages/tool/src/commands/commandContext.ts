import { type Clock, InputError, type Milliseconds, type OperationId } from "@arbutusdoor/common";
import { getUrl } from "../client/getUrl.js";
import { OperatorClient } from "../client/operatorClient.js";
import type { ExitName } from "../exitCodes.js";
import type { Runtime } from "../runtime.js";
import { getTextOptions } from "./getTextOptions.js";

const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_TIMEOUT_MS = 3_600_000;
const MAX_HOSTS = 64;

/** What a command works with: its flags, the hosts, and where its result goes. */
export class CommandContext {
    readonly clock: Clock;
    private readonly surroundings: Runtime;
    private readonly args: readonly string[];
    private client: OperatorClient | undefined;

    /** @param args all arguments of the tool as typed */
    constructor(surroundings: Runtime, args: readonly string[]) {
        this.clock = surroundings.clock;
        this.surroundings = surroundings;
        this.args = args;
    }

    /** Whether a flag without a value was given. */
    hasFlag(name: string): boolean {
        return this.args.includes(`--${name}`);
    }

    /** Value of a flag as typed, or `undefined`. Throws InputError when it was given twice. */
    getText(name: string): string | undefined {
        const values = getTextOptions(this.args, name);
        if (values.length > 1) {
            throw new InputError(`--${name} was given twice`);
        }
        return values[0];
    }

    /** Value of a flag as a whole number of at least `min`, or `undefined`. Throws InputError otherwise. */
    getInteger(name: string, min: number, max: number): number | undefined {
        const text = this.getText(name);
        if (text === undefined) {
            return undefined;
        }
        const value = /^\d+$/.test(text) ? Number(text) : -1;
        if (value < min || value > max) {
            throw new InputError(`--${name} needs a whole number from ${min} to ${max}, not "${text}"`);
        }
        return value;
    }

    /** The value of --timeout in ms. */
    getTimeoutMs(fallback: Milliseconds = DEFAULT_TIMEOUT_MS): Milliseconds {
        return this.getInteger("timeout", 1, MAX_TIMEOUT_MS) ?? fallback;
    }

    /** A variable of the environment. */
    getVariable(name: string): string | undefined {
        return this.surroundings.environment[name];
    }

    /** A new id for an operation. */
    createOperationId(): OperationId {
        return this.surroundings.createOperationId();
    }

    /** The client for the hosts that were given. Throws InputError without hosts or token. */
    getClient(): OperatorClient {
        this.client ??= this.createClient();
        return this.client;
    }

    /** Ends the connections, if there are any. */
    async close(): Promise<void> {
        await this.client?.close();
    }

    /** Prints one result: as JSON with --json, else as lines. */
    report(outcome: object, lines: readonly string[]): ExitName {
        this.printResult(outcome, lines, line => this.surroundings.terminal.print(line));
        return "done";
    }

    /** Prints a failure: as JSON on the standard output with --json, else as lines on the standard error. */
    fail(exit: Exclude<ExitName, "done">, outcome: object, lines: readonly string[]): ExitName {
        this.printResult(outcome, lines, line => this.surroundings.terminal.printError(line));
        return exit;
    }

    private printResult(outcome: object, lines: readonly string[], printLine: (line: string) => void): void {
        if (this.hasFlag("json")) {
            this.surroundings.terminal.print(JSON.stringify(outcome));
            return;
        }
        for (const line of lines) {
            printLine(line);
        }
    }

    private createClient(): OperatorClient {
        const token = this.getVariable("ARBUTUSDOOR_TOKEN");
        if (!token) {
            throw new InputError("set ARBUTUSDOOR_TOKEN to the operators' token");
        }
        const timeoutMs = this.getTimeoutMs();
        return new OperatorClient({ hosts: this.getHosts(), token, timeoutMs, clock: this.clock });
    }

    private getHosts(): string[] {
        const given = getTextOptions(this.args, "host");
        const texts = given.length > 0 ? given : [this.getVariable("ARBUTUSDOOR_HOSTS") ?? ""];
        const hosts = texts.flatMap(text => text.split(",")).map(text => text.trim()).filter(text =>
            text !== ""
        );
        if (hosts.length === 0) {
            throw new InputError("name the hosts with --host or ARBUTUSDOOR_HOSTS");
        }
        if (hosts.length > MAX_HOSTS) {
            throw new InputError(`give at most ${MAX_HOSTS} hosts`);
        }
        for (const host of hosts) {
            getUrl(host);
        }
        return [...new Set(hosts)];
    }
}
