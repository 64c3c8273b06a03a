#include "idem/types.h"

#include <glib.h>

void
idem_actions_finish(struct idem_actions *out)
{
    g_free(out->items);
    *out = (struct idem_actions){0};
}
