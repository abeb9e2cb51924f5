import type { Plot } from "./plot.js";

const WIDTH = 800;
const HEIGHT = 240;
const MARGIN = 40;
const LEGEND_LINE = 16;
const COLOURS = ["#888888", "#d62728", "#1f77b4", "#2ca02c", "#bbbbbb", "#ff9896", "#aec7e8", "#98df8a"];

/** A plot as an SVG element: lines over equal steps, a scale from 0 to the highest point, a legend below. */
export function drawPlot({ title, lines }: Plot): string {
    const highest = Math.max(1, ...lines.flatMap(({ points }) => points));
    const shapes = lines.map(({ points }, index) => {
        const path = points.map((value, step) => getPoint(value, step, points.length, highest)).join(" ");
        return `<polyline fill="none" stroke="${getColour(index)}" points="${path}"/>`;
    });
    const legend = lines.map(({ name }, index) => {
        const y = HEIGHT + MARGIN + LEGEND_LINE * index;
        return `<text x="${MARGIN}" y="${y}" fill="${getColour(index)}" font-size="12">${name}</text>`;
    });
    const height = HEIGHT + MARGIN + LEGEND_LINE * lines.length;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}">`,
        `<text x="${MARGIN}" y="14" font-size="14">${title}; highest ${highest.toFixed(2)}</text>`,
        `<line x1="${MARGIN}" x2="${WIDTH}" y1="${HEIGHT}" y2="${HEIGHT}" stroke="#000"/>`,
        ...shapes,
        ...legend,
        "</svg>",
    ].join("\n");
}

function getPoint(value: number, step: number, steps: number, highest: number): string {
    const x = MARGIN + (WIDTH - MARGIN) * step / Math.max(1, steps - 1);
    const y = HEIGHT - (HEIGHT - MARGIN) * value / highest;
    return `${x.toFixed(1)},${y.toFixed(1)}`;
}

function getColour(index: number): string {
    return COLOURS[index % COLOURS.length] as string;
}
