/**
 * Least-squares line through measured points.
 */

/** One measured point. @public */
export interface MeasuredPoint {
  readonly x: number;
  readonly y: number;
}

/**
 * The line `y = intercept + slope * x` with its coefficient of determination.
 *
 * @public
 */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** 1 if all points lie on the line; null if `y` is constant. */
  readonly rSquared: number | null;
}

/** Fits a line. Requires two points with different `x`. @public */
export function fitLine(points: readonly MeasuredPoint[]): LinearFit {
  const meanX = getMean(points.map(point => point.x));
  const meanY = getMean(points.map(point => point.y));
  let covariance = 0;
  let varianceX = 0;
  let varianceY = 0;
  for (const {x, y} of points) {
    covariance += (x - meanX) * (y - meanY);
    varianceX += (x - meanX) ** 2;
    varianceY += (y - meanY) ** 2;
  }
  if (varianceX === 0) {
    throw new RangeError('A linear fit requires two points with different x.');
  }
  const slope = covariance / varianceX;
  const rSquared =
    varianceY === 0 ? null : covariance ** 2 / (varianceX * varianceY);
  return {slope, intercept: meanY - slope * meanX, rSquared};
}

function getMean(values: readonly number[]): number {
  let sum = 0;
  for (const value of values) {
    sum += value;
  }
  return sum / values.length;
}
