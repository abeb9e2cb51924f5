import { LOG_EVENTS } from "../packages/common/src/logging/logEvent.js";

const HEAD = `# Log events

The daemon writes one JSON object a line: \`time\`, \`number\`, \`event\`, \`text\`, \`origin\` (the entry host) and the details
of the event. Numbers are never reused. What to do about an event is on [OPERATIONS.md](OPERATIONS.md). This page is
checked against the code by \`npm test\` and written by \`npm run docs\`.
`;

/** Text of docs/LOGS.md. */
export function newLogsPage(): string {
    const events = Object.entries(LOG_EVENTS).sort((left, right) => left[1].number - right[1].number);
    const rows = events.map(([name, { number, level, text }]) =>
        `| ${number} | \`${name}\` | ${level} | ${text} |`
    );
    return `${HEAD}\n| number | event | level | meaning |\n| --- | --- | --- | --- |\n${rows.join("\n")}\n`;
}
