import type { LineFit } from "./lineFit.js";
import type { Point } from "./point.js";

/** Fits a line by least squares; the exponent is that of the positive points alone. */
export function fitLine(points: readonly Point[]): LineFit {
    const { slope, intercept, determination } = regress(points);
    const positive = points.filter(({ x, y }) => x > 0 && y > 0);
    const logarithms = positive.map(({ x, y }) => ({ x: Math.log(x), y: Math.log(y) }));
    return { slope, intercept, determination, exponent: regress(logarithms).slope };
}

function regress(points: readonly Point[]): Omit<LineFit, "exponent"> {
    const meanX = getMean(points.map(({ x }) => x));
    const meanY = getMean(points.map(({ y }) => y));
    const covariance = getMean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
    const varianceX = getMean(points.map(({ x }) => (x - meanX) ** 2));
    const varianceY = getMean(points.map(({ y }) => (y - meanY) ** 2));
    const slope = varianceX === 0 ? 0 : covariance / varianceX;
    const isFlat = varianceX === 0 || varianceY === 0;
    const determination = isFlat ? 1 : covariance ** 2 / (varianceX * varianceY);
    return { slope, intercept: meanY - slope * meanX, determination };
}

function getMean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
