/**
 * DOC: harness - tests that register themselves with GLib
 *
 * A test file names its SUITE, such as "/base/auth", and defines its tests by
 * TEST() and TEST_F(). The library has main(); a file whose tests need more
 * has its own and calls harness_run().
 */
#ifndef SWIFTARCH_TESTS_LIB_HARNESS_H
#define SWIFTARCH_TESTS_LIB_HARNESS_H

#include <glib.h>

/**
 * struct harness_test - a test
 * @path: its name for GLib, as in "/base/auth/skew"
 * @run: the test
 * @next: the one defined after it, NULL at the last
 */
struct harness_test {
    const char *path;
    void (*run)(void);
    struct harness_test *next;
};

/** harness_add() - take in @test, which must stay */
void
harness_add(struct harness_test *test);

/** harness_run() - run the tests after g_test_init(); returns the exit code */
int
harness_run(void);

#define HARNESS_ADD(name, function)                                           \
    __attribute__((constructor)) static void add_##function(void)             \
    {                                                                         \
        static struct harness_test test = {SUITE "/" #name, function, NULL};  \
        harness_add(&test);                                                   \
    }

/** TEST() - define the test @name of the SUITE */
#define TEST(name)                                                            \
    static void test_##name(void);                                            \
    HARNESS_ADD(name, test_##name)                                            \
    static void test_##name(void)

/** TEST_WITH() - define the test @name, which finds a struct @fixture by that
 * name, zeroed; @begin(), with the further arguments, and @end() run before
 * and after */
#define TEST_WITH(fixture, begin, end, name, ...)                             \
    static void test_##name(struct fixture *fixture);                         \
    static void with_##fixture##_##name(void)                                 \
    {                                                                         \
        struct fixture fixture = {0};                                         \
        begin(&fixture, ##__VA_ARGS__);                                       \
        test_##name(&fixture);                                                \
        end(&fixture);                                                        \
    }                                                                         \
    HARNESS_ADD(name, with_##fixture##_##name)                                \
    static void test_##name(struct fixture *fixture)

/** TEST_F() - the same with the fixture's own _init() and _finish() */
#define TEST_F(fixture, name, ...)                                            \
    TEST_WITH(fixture, fixture##_init, fixture##_finish, name, ##__VA_ARGS__)

#endif
