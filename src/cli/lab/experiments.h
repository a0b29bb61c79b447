// The sub-commands of `silverrail lab`, a file each. `exit_code` is set when the command has run.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>

namespace silverrail::cli {

void add_fleet(CLI::App& lab, int& exit_code);
void add_replica(CLI::App& lab);
void add_check(CLI::App& lab, int& exit_code);
void add_failover(CLI::App& lab, int& exit_code);

// As printf takes them.
inline unsigned long long printable_count(std::uint64_t number) {
    return number;
}
inline long long printable_ms(std::int64_t milliseconds) {
    return milliseconds;
}

}  // namespace silverrail::cli
