import { type Clock, InputError, type Milliseconds, type OperationId } from "@arbutusdoor/common";
import { getUrl } from "../client/getUrl.js";
import { OperatorClient } from "../client/operatorClient.js";
import type { ExitName } from "../exitCodes.js";
import type { Runtime } from "../runtime.js";
import { getTextOptions } from "./getTextOptions.js";

const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_TIMEOUT_MS = 3_600_000;
const MAX_HOSTS = 64;

/** Gives a command its flags, a client for the hosts, and the means to report its result. */
export class CommandContext {
    readonly clock: Clock;
    private readonly runtime: Runtime;
    private readonly args: readonly string[];
    private client: OperatorClient | undefined;

    /** @param args all command-line arguments of the tool, unparsed */
    constructor(runtime: Runtime, args: readonly string[]) {
        this.clock = runtime.clock;
        this.runtime = runtime;
        this.args = args;
    }

    /** Whether a flag without a value was given. */
    hasFlag(name: string): boolean {
        return this.args.includes(`--${name}`);
    }

    /** Returns the value of a flag as typed, or `undefined` without the flag. Throws InputError when it was given twice. */
    getText(name: string): string | undefined {
        const values = getTextOptions(this.args, name);
        if (values.length > 1) {
            throw new InputError(`--${name} was given twice`);
        }
        return values[0];
    }

    /**
     * Returns the value of a flag as a whole number, or `undefined` without the flag. Throws InputError when it is not a whole
     * number from `min` to `max`.
     */
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

    /** Returns the value of --timeout in ms, or `fallback` without the flag. */
    getTimeoutMs(fallback: Milliseconds = DEFAULT_TIMEOUT_MS): Milliseconds {
        return this.getInteger("timeout", 1, MAX_TIMEOUT_MS) ?? fallback;
    }

    /** Returns the value of an environment variable. */
    getVariable(name: string): string | undefined {
        return this.runtime.environment[name];
    }

    /** Creates an id for an operation. */
    createOperationId(): OperationId {
        return this.runtime.createOperationId();
    }

    /** Returns the client for the hosts given by flag or environment. Throws InputError when the hosts or the token are missing. */
    getClient(): OperatorClient {
        this.client ??= this.createClient();
        return this.client;
    }

    /** Closes the connections to the hosts, if there are any. */
    async close(): Promise<void> {
        await this.client?.close();
    }

    /** Prints a result: as JSON with --json, else as lines. */
    report(outcome: object, lines: readonly string[]): ExitName {
        this.printResult(outcome, lines, line => this.runtime.terminal.print(line));
        return "done";
    }

    /** Prints a failure: as JSON on the standard output with --json, else as lines on the standard error. */
    fail(exit: Exclude<ExitName, "done">, outcome: object, lines: readonly string[]): ExitName {
        this.printResult(outcome, lines, line => this.runtime.terminal.printError(line));
        return exit;
    }

    private printResult(outcome: object, lines: readonly string[], printLine: (line: string) => void): void {
        if (this.hasFlag("json")) {
            this.runtime.terminal.print(JSON.stringify(outcome));
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
