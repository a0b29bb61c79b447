#include <iostream>

#include "session.h"

int main() {
    std::ios::sync_with_stdio(false);
    return silverrail::routing::adapter::serve(std::cin, std::cout, std::cerr);
}
