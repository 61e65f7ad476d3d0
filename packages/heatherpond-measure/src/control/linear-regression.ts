/** Linear regression over measured points. */

/** A measured value `y` at size `x`. */
export type Point = {readonly x: number; readonly y: number};

/** The regression line `y = intercept + slope * x`. */
export type RegressionLine = {
	readonly intercept: number;
	readonly slope: number;
	/** Coefficient of determination, from 0 to 1; 1 if all points lie on the line. */
	readonly rSquared: number;
};

/** Fits a least-squares line through two or more points. The slope is 0 if all points have the same `x`. */
export function findRegressionLine(points: readonly Point[]): RegressionLine {
	const count = points.length;
	const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
	const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
	const covariance = points.reduce((sum, point) => sum + ((point.x - meanX) * (point.y - meanY)), 0);
	const varianceX = points.reduce((sum, point) => sum + ((point.x - meanX) ** 2), 0);
	const varianceY = points.reduce((sum, point) => sum + ((point.y - meanY) ** 2), 0);
	const slope = varianceX === 0 ? 0 : covariance / varianceX;
	const rSquared = varianceX === 0 || varianceY === 0 ? 1 : (covariance ** 2) / (varianceX * varianceY);
	return {intercept: meanY - (slope * meanX), slope, rSquared};
}
