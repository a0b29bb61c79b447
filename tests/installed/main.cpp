#include <iostream>

#include "embed_example.h"

int main() {
    const auto target = embed_example::first_target();
    std::cout << "sent to " << target << '\n';
    return target.empty() ? 1 : 0;
}
