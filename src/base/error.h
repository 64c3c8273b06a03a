/**
 * DOC: error - errors that say at which step and with which peer they arose
 *
 * Functions return 0 or a negative errno value and fill a struct error.
 */
#ifndef SWIFTARCH_BASE_ERROR_H
#define SWIFTARCH_BASE_ERROR_H

#define ERROR_STEP_MAX 32
#define ERROR_PEER_MAX 64
#define ERROR_DETAIL_MAX 256

/**
 * struct error - where and why something failed
 * @code: negative errno value, 0 when nothing failed
 * @step: what was being done, for example "connect"
 * @peer: whom it was done with (address, file or name), may be empty
 * @detail: one sentence for a person
 */
struct error {
    int code;
    char step[ERROR_STEP_MAX];
    char peer[ERROR_PEER_MAX];
    char detail[ERROR_DETAIL_MAX];
};

/**
 * error_set() - fill @err
 * @err: error to fill, may be NULL
 * @code: negative errno value
 * @step: step that failed
 * @peer: peer it failed with, or NULL
 * @fmt: printf format of the detail
 *
 * Return: @code, so that callers can write return error_set(...).
 */
int
error_set(struct error *err, int code, const char *step, const char *peer,
          const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/**
 * error_format() - one line "step peer: detail (errno text)"
 * @err: error to print
 * @buf: result
 * @size: size of @buf in bytes
 *
 * Return: @buf.
 */
const char *
error_format(const struct error *err, char *buf, unsigned size);

#endif
