// Plain asserts that fire in every build type.
#pragma once

#include <cstdio>
#include <cstdlib>

#define CHECK(condition)                                                                 \
    do {                                                                                 \
        if (!(condition)) {                                                              \
            std::fprintf(stderr, "%s:%d: not so: %s\n", __FILE__, __LINE__, #condition); \
            std::exit(1);                                                                \
        }                                                                                \
    } while (false)
