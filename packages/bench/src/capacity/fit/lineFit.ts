/** A straight line through measured points, and how the points grow. */
export type LineFit = {
    readonly slope: number;
    readonly intercept: number;
    /** Share of the variance that the line explains, from 0 to 1. */
    readonly determination: number;
    /** Slope of the logarithms: 1 when doubling the size doubles the figure, 2 when it quadruples it; 0 without growth. */
    readonly exponent: number;
};
