/**
 * DOC: segment - builds the segment that probes a caller
 *
 * The probe is a SYN-ACK, like a retransmission of the handshake's second
 * segment. A caller with an open connection answers a SYN of any sequence
 * number with a challenge ACK and changes nothing (RFC 9293, 3.10.7.4). A bare
 * ACK would be answered only with a sequence number outside the caller's
 * window, which is unknown to the backup.
 */
#ifndef SWIFTARCH_ORPHANS_SEGMENT_H
#define SWIFTARCH_ORPHANS_SEGMENT_H

#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

#define SEGMENT_PROBE_LEN 40

/**
 * segment_build_probe() - build a SYN-ACK from @service to @caller
 * @number: sequence and acknowledgement number, any value
 * @buf: SEGMENT_PROBE_LEN bytes
 *
 * Return: length of the packet.
 */
size_t
segment_build_probe(struct addr service, struct addr caller, uint32_t number,
                    uint8_t *buf);

#endif
