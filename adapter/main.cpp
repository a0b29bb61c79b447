#include <iostream>

#include "link.h"

int main() {
    std::ios::sync_with_stdio(false);
    return silverrail::routing::adapter::serve(std::cin, std::cout, std::cerr);
}
