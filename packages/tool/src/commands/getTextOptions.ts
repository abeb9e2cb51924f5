/** Returns the values of a flag exactly as typed (`--name value` or `--name=value`): the parser would turn 007 into the number 7. */
export function getTextOptions(args: readonly string[], name: string): string[] {
    const flag = `--${name}`;
    const values: string[] = [];
    for (const [index, arg] of args.entries()) {
        if (arg === "--") {
            break;
        }
        if (arg.startsWith(`${flag}=`)) {
            values.push(arg.slice(flag.length + 1));
        }
        const next = args[index + 1];
        if (arg === flag && next !== undefined && !next.startsWith("-")) {
            values.push(next);
        }
    }
    return values;
}
