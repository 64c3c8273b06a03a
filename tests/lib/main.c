#include "lib/harness.h"

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    return harness_run();
}
