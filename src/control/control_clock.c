#include <time.h>

#include "control/control_internal.h"

uint64_t
control_now(struct control *control)
{
    return clock_now_us(control->clock);
}

uint64_t
control_wall_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}
