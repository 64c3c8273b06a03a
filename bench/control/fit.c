#include "fit.h"

#include <stdlib.h>

struct fit
fit_line(const double *x, const double *y, size_t count)
{
    double mean_x = 0;
    double mean_y = 0;
    double xx = 0;
    double xy = 0;
    double yy = 0;
    struct fit fit = {0};

    for (size_t i = 0; i < count; i++) {
        mean_x += x[i] / count;
        mean_y += y[i] / count;
    }
    for (size_t i = 0; i < count; i++) {
        xx += (x[i] - mean_x) * (x[i] - mean_x);
        xy += (x[i] - mean_x) * (y[i] - mean_y);
        yy += (y[i] - mean_y) * (y[i] - mean_y);
    }
    if (xx > 0)
        fit.slope = xy / xx;
    fit.intercept = mean_y - fit.slope * mean_x;
    fit.r2 = yy > 0 ? xy * xy / (xx * yy) : 1;
    return fit;
}

double
fit_at(const struct fit *fit, double x)
{
    return fit->intercept + fit->slope * x;
}

static int
compare(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;

    return (a > b) - (a < b);
}

void
fit_sort(uint64_t *samples, size_t count)
{
    qsort(samples, count, sizeof(samples[0]), compare);
}

uint64_t
fit_quantile(const uint64_t *samples, size_t count, double q)
{
    size_t at = q * count;

    if (count == 0)
        return 0;
    return samples[at < count ? at : count - 1];
}
