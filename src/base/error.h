/**
 * DOC: error - an errno value with the failed step, its object and a detail
 *
 * Functions return 0 or a negative errno value and fill a struct error.
 */
#ifndef SWIFTARCH_BASE_ERROR_H
#define SWIFTARCH_BASE_ERROR_H

#define ERROR_STEP_MAX 32
#define ERROR_PEER_MAX 64
#define ERROR_DETAIL_MAX 256

/**
 * struct error - a failure
 * @code: negative errno value, 0 for none
 * @step: operation that failed, for example "connect"
 * @peer: address, file or name that it failed on, may be empty
 * @detail: description for the operator
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
 * @step: operation that failed
 * @peer: address, file or name that it failed on, or NULL
 * @fmt: printf format of the detail
 *
 * Return: @code.
 */
int
error_set(struct error *err, int code, const char *step, const char *peer,
          const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/**
 * error_format() - format as "step peer: detail (errno text)"
 * @err: error to print
 * @buf: result
 * @size: size of @buf in bytes
 *
 * Return: @buf.
 */
const char *
error_format(const struct error *err, char *buf, unsigned size);

#endif
