/**
 * DOC: fit - least squares line and quantiles for the control benches
 */
#ifndef SWIFTARCH_BENCH_FIT_H
#define SWIFTARCH_BENCH_FIT_H

#include <stddef.h>
#include <stdint.h>

/** struct fit - y = @intercept + @slope x; @r2 is 1 for a perfect line */
struct fit {
    double intercept;
    double slope;
    double r2;
};

/** fit_line() - least squares over @count points */
struct fit
fit_line(const double *x, const double *y, size_t count);

/** fit_at() - value of the line at @x */
double
fit_at(const struct fit *fit, double x);

/** fit_sort() - sort samples upwards */
void
fit_sort(uint64_t *samples, size_t count);

/** fit_quantile() - of sorted samples, @q in 0..1; 0 without samples */
uint64_t
fit_quantile(const uint64_t *samples, size_t count, double q);

#endif
