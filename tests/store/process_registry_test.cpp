// The registry of a router's processes, including a process that is killed.
#include "store/process_registry.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <system_error>

#include "../silverrail/check.h"

using silverrail::store::ProcessRegistry;

namespace {

void processes_are_counted_by_their_locks() {
    const auto folder =
        std::filesystem::temp_directory_path() / ("silverrail-locks-" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder);
    const std::string file = folder / "registry";
    {
        ProcessRegistry one{file};
        CHECK(one.processes() == 1);
        {
            ProcessRegistry two{file};
            CHECK(one.processes() == 2 && two.processes() == 2);
        }
        CHECK(one.processes() == 1);
        // A process killed with SIGKILL leaves no lock behind.
        int ready[2];
        CHECK(::pipe(ready) == 0);
        const pid_t pid = ::fork();
        if (pid == 0) {
            const ProcessRegistry child{file};
            char byte = 1;
            if (::write(ready[1], &byte, 1) != 1)
                ::_exit(1);
            while (true)
                ::pause();
        }
        char byte = 0;
        CHECK(::read(ready[0], &byte, 1) == 1 && one.processes() == 2);
        CHECK(::kill(pid, SIGKILL) == 0 && ::waitpid(pid, nullptr, 0) == pid);
        CHECK(one.processes() == 1);
    }
    bool failed = false;
    try {
        ProcessRegistry nowhere{folder / "no" / "such"};
    } catch (const std::system_error& e) {
        failed = std::string{e.what()}.find("no/such") != std::string::npos;
    }
    CHECK(failed);
    std::filesystem::remove_all(folder);
}

}  // namespace

int main() {
    processes_are_counted_by_their_locks();
    std::puts("process registry: all cases passed");
}
