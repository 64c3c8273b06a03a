/**
 * DOC: worker_socket - UDP socket of a packet worker
 */
#ifndef SWIFTARCH_BALANCER_WORKER_SOCKET_H
#define SWIFTARCH_BALANCER_WORKER_SOCKET_H

#include <stdbool.h>

#include "base/addr.h"
#include "base/error.h"

/**
 * worker_socket_open() - open a bound UDP socket with SO_REUSEPORT
 * @addr: address; port 0 is replaced by the port that the kernel assigns
 * @first: fail if another socket has the address, so that a second process
 *         with the same settings does not take part of the packets
 *
 * Return: file descriptor, or a negative errno with @err filled.
 */
int
worker_socket_open(struct addr *addr, bool first, struct error *err);

/**
 * worker_socket_attach_filter() - assign each flow to one of @count sockets
 * @fd: any socket of the group that shares the address
 * @count: number of sockets in the group
 *
 * Hashes the inner source address and ports, since the fabric may send all
 * packets from one port.
 *
 * Return: 0, or a negative errno; the kernel then hashes the outer header.
 */
int
worker_socket_attach_filter(int fd, unsigned count);

/**
 * worker_socket_next_refused() - read the next refusal from the error queue
 * @addr: set to the destination that refused a packet
 *
 * Return: true with @addr set, or false when there is none.
 */
bool
worker_socket_next_refused(int fd, struct addr *addr);

#endif
