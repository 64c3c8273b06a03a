/**
 * DOC: tsan_shim - tells the thread sanitizer of locks that it can't see
 *
 * liburcu and GLib come without instrumentation: their grace periods and
 * mutexes are made of futexes and barriers. This library is preloaded by
 * scripts/sanitize; each function calls the real one and tells the
 * sanitizer what it orders. It adds no order that the real one lacks.
 */
#include <dlfcn.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <urcu.h>

void
__tsan_acquire(void *at) __attribute__((weak));
void
__tsan_release(void *at) __attribute__((weak));

/* What every grace period orders. */
static char grace_period;

#define REAL(name) ((__typeof__(&(name)))real(#name))

static void *
real(const char *name)
{
    void *found = dlsym(RTLD_NEXT, name);

    if (found == NULL) {
        abort();
    }
    return found;
}

static void
acquire(void *at)
{
    if (__tsan_acquire != NULL) {
        __tsan_acquire(at);
    }
}

static void
release(void *at)
{
    if (__tsan_release != NULL) {
        __tsan_release(at);
    }
}

/* What a reader did comes before what follows the grace period. */
void
urcu_memb_read_unlock(void)
{
    static __typeof__(&urcu_memb_read_unlock) function;

    if (function == NULL) {
        function = REAL(urcu_memb_read_unlock);
    }
    release(&grace_period);
    function();
}

void
urcu_memb_synchronize_rcu(void)
{
    release(&grace_period);
    REAL(urcu_memb_synchronize_rcu)();
    acquire(&grace_period);
}

/* What was written before a pointer was published is seen by who reads it.
 */
void *
rcu_dereference_sym(void *pointer)
{
    static __typeof__(&rcu_dereference_sym) function;

    if (function == NULL) {
        function = REAL(rcu_dereference_sym);
    }
    pointer = function(pointer);
    if (pointer != NULL) {
        acquire(pointer);
    }
    return pointer;
}

void *
rcu_set_pointer_sym(void **at, void *pointer)
{
    if (pointer != NULL) {
        release(pointer);
    }
    return REAL(rcu_set_pointer_sym)(at, pointer);
}

void *
rcu_xchg_pointer_sym(void **at, void *pointer)
{
    void *old;

    if (pointer != NULL) {
        release(pointer);
    }
    old = REAL(rcu_xchg_pointer_sym)(at, pointer);
    if (old != NULL) {
        acquire(old);
    }
    return old;
}

/** struct later - a callback that waits for a grace period */
struct later {
    struct rcu_head head;
    struct rcu_head *original;
    void (*function)(struct rcu_head *head);
};

static void
run_later(struct rcu_head *head)
{
    struct later *later = (struct later *)head;
    struct rcu_head *original = later->original;
    void (*function)(struct rcu_head * head) = later->function;

    acquire(&grace_period);
    free(later);
    function(original);
    release(&grace_period);
}

void
urcu_memb_call_rcu(struct rcu_head *head,
                   void (*function)(struct rcu_head *head))
{
    struct later *later = malloc(sizeof(*later));

    if (later == NULL) {
        abort();
    }
    later->original = head;
    later->function = function;
    release(&grace_period);
    REAL(urcu_memb_call_rcu)(&later->head, run_later);
}

/** struct barrier - waits for all callbacks that were given before it */
struct barrier {
    struct rcu_head head;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    int done;
};

static void
end_barrier(struct rcu_head *head)
{
    struct barrier *barrier = (struct barrier *)head;

    pthread_mutex_lock(&barrier->lock);
    barrier->done = 1;
    pthread_cond_signal(&barrier->changed);
    pthread_mutex_unlock(&barrier->lock);
}

/* The real one's memory is freed on another thread, unseen. Callbacks of
 * the one default thread run in order, so the last one will do. */
void
urcu_memb_barrier(void)
{
    struct barrier barrier = {
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .changed = PTHREAD_COND_INITIALIZER,
    };

    urcu_memb_call_rcu(&barrier.head, end_barrier);
    pthread_mutex_lock(&barrier.lock);
    while (!barrier.done) {
        pthread_cond_wait(&barrier.changed, &barrier.lock);
    }
    pthread_mutex_unlock(&barrier.lock);
}

void
g_mutex_lock(GMutex *mutex)
{
    REAL(g_mutex_lock)(mutex);
    acquire(mutex);
}

gboolean
g_mutex_trylock(GMutex *mutex)
{
    gboolean locked = REAL(g_mutex_trylock)(mutex);

    if (locked) {
        acquire(mutex);
    }
    return locked;
}

void
g_mutex_unlock(GMutex *mutex)
{
    release(mutex);
    REAL(g_mutex_unlock)(mutex);
}

void
g_cond_wait(GCond *cond, GMutex *mutex)
{
    release(mutex);
    REAL(g_cond_wait)(cond, mutex);
    acquire(mutex);
}

gboolean
g_cond_wait_until(GCond *cond, GMutex *mutex, gint64 end_time)
{
    gboolean woken;

    release(mutex);
    woken = REAL(g_cond_wait_until)(cond, mutex, end_time);
    acquire(mutex);
    return woken;
}
