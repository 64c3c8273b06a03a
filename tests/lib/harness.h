/**
 * DOC: harness - registration of test functions with GLib's test runner
 *
 * A test file defines SUITE, such as "/base/auth", and its tests with TEST()
 * and TEST_F(). The library provides main(); a test that needs its own main()
 * calls harness_run() from it.
 */
#ifndef SWIFTARCH_TESTS_LIB_HARNESS_H
#define SWIFTARCH_TESTS_LIB_HARNESS_H

#include <glib.h>

/**
 * struct harness_test - a registered test
 * @path: GLib test path, such as "/base/auth/skew"
 * @run: test function
 * @next: next test in order of definition, NULL at the end
 */
struct harness_test {
    const char *path;
    void (*run)(void);
    struct harness_test *next;
};

/** harness_add() - register @test, which must have static lifetime */
void
harness_add(struct harness_test *test);

/** harness_run() - run all registered tests; call g_test_init() first. Returns
 * the exit code */
int
harness_run(void);

#define HARNESS_ADD(name, function)                                           \
    __attribute__((constructor)) static void add_##function(void)             \
    {                                                                         \
        static struct harness_test test = {SUITE "/" #name, function, NULL};  \
        harness_add(&test);                                                   \
    }

/** TEST() - define test @name in SUITE */
#define TEST(name)                                                            \
    static void test_##name(void);                                            \
    HARNESS_ADD(name, test_##name)                                            \
    static void test_##name(void)

/** TEST_WITH() - define test @name, which gets a pointer @fixture to a zeroed
 * struct @fixture; @begin(), with the further arguments, runs before the test
 * and @end() after it */
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

/** TEST_F() - TEST_WITH() the fixture's _init() and _finish() */
#define TEST_F(fixture, name, ...)                                            \
    TEST_WITH(fixture, fixture##_init, fixture##_finish, name, ##__VA_ARGS__)

#endif
