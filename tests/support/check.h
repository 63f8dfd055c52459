/* Headers that every test needs, in the order that cmocka requires. */
#ifndef AMBERPIN_TESTS_CHECK_H
#define AMBERPIN_TESTS_CHECK_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define ROWS(table) (sizeof(table) / sizeof *(table))

#endif
