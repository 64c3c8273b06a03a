/**
 * DOC: isn - initial sequence numbers that differ from process to process
 *
 * lwIP counts its initial sequence numbers up from the same constant in
 * every process, so two agents that both answer one SYN may choose the
 * same number, and neither could tell which of them the caller
 * acknowledged. Debian's library has no hook for another generator.
 * Therefore the numbers are shifted on their way out and back on their way
 * in by a keyed hash of the connection's addresses and ports (the form of
 * RFC 6528), which needs no state.
 */
#ifndef SWIFTARCH_STACK_ISN_H
#define SWIFTARCH_STACK_ISN_H

#include <stddef.h>
#include <stdint.h>

/**
 * isn_shift_out() - shift the sequence number of a packet that is sent
 * @secret: random number of this process
 * @packet: whole IPv4/TCP packet of @len bytes; its checksum is adjusted
 */
void
isn_shift_out(uint64_t secret, uint8_t *packet, size_t len);

/** isn_shift_in() - shift the acknowledgement of a packet that came back */
void
isn_shift_in(uint64_t secret, uint8_t *packet, size_t len);

#endif
