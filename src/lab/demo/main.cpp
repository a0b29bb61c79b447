// silverrail_demo PROGRAM: plays the demo with the given silverrail.
// Exit code 0: all was as it should be; 1: something was not, or it could not run; 2: wrong arguments.

#include <cstdio>
#include <exception>

#include "lab/demo/demo.h"

int main(int argc, char** argv) {
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s PROGRAM\n", argv[0]);
        return 2;
    }
    try {
        return silverrail::lab::demo::Demo{argv[1]}.run() ? 0 : 1;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}
