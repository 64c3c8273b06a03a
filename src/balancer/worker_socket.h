/**
 * DOC: worker_socket - the packet socket of a worker
 */
#ifndef SWIFTARCH_BALANCER_WORKER_SOCKET_H
#define SWIFTARCH_BALANCER_WORKER_SOCKET_H

#include <stdbool.h>

#include "base/addr.h"
#include "base/error.h"

/**
 * worker_socket_open() - a bound UDP socket that shares its address
 * @addr: address; port 0 is replaced by the one the kernel gave
 * @first: no other socket may have the address yet; so a second process
 *         with the same settings fails instead of taking half the packets
 *
 * Return: the socket, or a negative errno with @err filled.
 */
int
worker_socket_open(struct addr *addr, bool first, struct error *err);

/**
 * worker_socket_attach_filter() - hand each flow to one of @count sockets
 *
 * For the sockets that share the address of @fd. A hash of the inner
 * caller address and ports picks the socket, since the fabric may send all
 * packets from one port.
 *
 * Return: 0 or a negative errno (the kernel then hashes the outer header).
 */
int
worker_socket_attach_filter(int fd, unsigned count);

/**
 * worker_socket_next_refused() - next refusal that the kernel noted
 * @addr: where nobody takes packets
 *
 * Return: true with @addr filled; false when there is no more.
 */
bool
worker_socket_next_refused(int fd, struct addr *addr);

#endif
