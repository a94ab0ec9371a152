import { formatTable } from "../../src/load/loadReport.js";

/** A value measured at one size. */
export interface DataPoint {
    readonly size: number;
    readonly value: number;
}

/** A line fitted through measurements: a cost as a linear function of a size. */
export interface LinearFit {
    readonly name: string;
    /** What the size counts, for example links or queued requests. */
    readonly per: string;
    readonly unit: string;
    readonly points: readonly DataPoint[];
    readonly slope: number;
    readonly intercept: number;
    /** Coefficient of determination R²: the share of the variance that the line explains; 1 for an exact fit. */
    readonly fitQuality: number;
}

/** Fits a line through points by least squares. */
export function fitLine(name: string, per: string, unit: string, points: readonly DataPoint[]): LinearFit {
    const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
    const meanSize = mean(points.map(point => point.size));
    const meanValue = mean(points.map(point => point.value));
    const sum = (read: (point: DataPoint) => number) => points.reduce((total, point) => total + read(point), 0);
    const sizeVariance = sum(point => (point.size - meanSize) ** 2);
    const slope = sum(point => (point.size - meanSize) * (point.value - meanValue)) / sizeVariance;
    const intercept = meanValue - slope * meanSize;
    const totalSquares = sum(point => (point.value - meanValue) ** 2);
    const residualSquares = sum(point => (point.value - intercept - slope * point.size) ** 2);
    return {
        name,
        per,
        unit,
        points,
        slope,
        intercept,
        fitQuality: totalSquares === 0 ? 1 : 1 - residualSquares / totalSquares,
    };
}

function formatNumber(value: number): string {
    return value === 0 ? "0" : Number(value.toPrecision(3)).toString();
}

/** Formats fitted lines as a Markdown table. */
export function formatSlopes(slopes: readonly LinearFit[]): string {
    return formatTable(
        ["cost", "per", "slope", "at size 0", "R²", "points (size: value)"],
        slopes.map(slope => [
            slope.name,
            slope.per,
            `${formatNumber(slope.slope)} ${slope.unit}`,
            `${formatNumber(slope.intercept)} ${slope.unit}`,
            slope.fitQuality.toFixed(3),
            slope.points.map(point => `${point.size}: ${formatNumber(point.value)}`).join(", "),
        ]),
    );
}
