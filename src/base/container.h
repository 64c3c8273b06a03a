/**
 * DOC: container - pointer to the struct that contains a member
 */
#ifndef SWIFTARCH_BASE_CONTAINER_H
#define SWIFTARCH_BASE_CONTAINER_H

#include <stddef.h>

/** container_of() - pointer to the @type whose @member is at @pointer */
#define container_of(pointer, type, member)                                   \
    ((type *)((char *)(pointer)-offsetof(type, member)))

#endif
