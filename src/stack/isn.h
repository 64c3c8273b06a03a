/**
 * DOC: isn - initial sequence numbers that differ between processes
 *
 * lwIP counts its initial sequence numbers up from the same constant in
 * every process. Two agents that answer one SYN could choose the same number
 * and couldn't distinguish whose SYN+ACK the caller acknowledged. The packaged
 * library has no hook for another generator, so sequence numbers are shifted
 * in sent packets, and acknowledgements shifted back in received ones, by a
 * keyed hash of the connection's addresses and ports (as in RFC 6528). This
 * needs no state.
 */
#ifndef SWIFTARCH_STACK_ISN_H
#define SWIFTARCH_STACK_ISN_H

#include <stddef.h>
#include <stdint.h>

/**
 * isn_shift_out() - shift the sequence number of a packet to send
 * @secret: random number of this process
 * @packet: complete IPv4/TCP packet of @len bytes; its checksum is updated
 */
void
isn_shift_out(uint64_t secret, uint8_t *packet, size_t len);

/** isn_shift_in() - shift back the acknowledgement of a received packet */
void
isn_shift_in(uint64_t secret, uint8_t *packet, size_t len);

#endif
