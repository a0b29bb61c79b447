#include "lab/soak/router_processes.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

namespace silverrail::lab::soak {

namespace {

constexpr std::string_view kCountersLine = "counters ";
constexpr std::string_view kViolations = "violations ";
constexpr int kCannotExecute = 127;

std::string nanoseconds(Millis span) {
    return std::to_string(span.count() * 1'000'000);
}

// The settings of every run, as JSON.
std::string settings(std::size_t routers, Millis longest_deadline) {
    return R"({"allowed":{"cancel":true,"connect-timeout":400000000,"conn-idle":5000000000,"retry-after":true,)"
           R"("max-retry-after":300000000,"try-limit":5},"classes":[)"
           R"({"name":"pages","aim":250000000,"give-up":)" +
           nanoseconds(longest_deadline) +
           R"(,"effect":"pure","late-worth":0.3},)"
           R"({"name":"lodge","aim":500000000,"give-up":)" +
           nanoseconds(longest_deadline) +
           R"(,"effect":"side_effect"},)"
           R"({"name":"order","aim":500000000,"give-up":)" +
           nanoseconds(longest_deadline) + R"(,"effect":"token","group":"all","window":)" +
           nanoseconds(terms::kRetryWindow) +
           R"(}],"zone":"edge-1","dcs":["north","edge-1"],"weights":"nominal","balancers":)" +
           std::to_string(routers) +
           R"(,"kinds":["cache","hub","store"],"family-info":{"second-tier-kind":1,"origin-kind":2,)"
           R"("uncached":[false,true,true],"detail":"all","bypass-allowed":true,"shares-fills":true,)"
           R"("one-flow-kb-per-s":)" +
           std::to_string(terms::kMaxResponseKbPerS) + R"(,"max-age":[)" + nanoseconds(terms::kMaxAge) +
           R"(,0,0],"class-grace":[)" + nanoseconds(terms::kStaleGrace) +
           R"(,0,0],"stale-earns":[0.4,0,0],"heed-within":)" + nanoseconds(terms::kPurgeEffectiveWithin) +
           R"(,"cleared-within":)" + nanoseconds(terms::kPurgeCompleteWithin) +
           R"(,"upper-cold-from":0.3,"parent-warms-in":6000000000,"parent-limit-factor":2},"invariants":{)"
           R"("drain-grace":)" +
           nanoseconds(terms::kDrainGrace) + R"(,"cold-from":)" + std::to_string(terms::kSlowStartShare) +
           R"(,"cold":)" + nanoseconds(terms::kSlowStartDuration) + R"(,"tip-multiple":)" +
           std::to_string(terms::kOverloadMultiple) + R"(,"fall":)" + nanoseconds(terms::kOverloadWindow) +
           "}}";
}

}  // namespace

RouterProcesses::RouterProcesses(Programs programs, const std::filesystem::path& folder, std::size_t count,
                                 std::uint64_t seed, Millis longest_deadline)
    : programs_(std::move(programs)), seed_(seed), longest_deadline_(longest_deadline) {
    for (std::size_t i = 0; i < count; ++i) {
        auto router = std::make_unique<Router>();
        router->folder = folder / ("r" + std::to_string(i));
        std::filesystem::create_directories(router->folder / "tmp");
        router->faults = std::make_unique<FaultFile>((router->folder / "faults").string());
        std::ofstream{router->folder / "settings.json"} << "{}";
        routers_.push_back(std::move(router));
    }
}

RouterProcesses::~RouterProcesses() {
    for (std::size_t router = 0; router < count(); ++router)
        kill(router);
}

void RouterProcesses::write_configuration(std::size_t router, const RouterAddresses& addresses,
                                          const std::string& known) {
    const auto& folder = routers_.at(router)->folder;
    const auto seed = seed_ * 1000 + router * 10 + generation(router);
    const auto scratch = folder / "config.new";
    std::ofstream{scratch} << R"({"name":"r)" << router << R"(","listen":")" << addresses.listen
                           << R"(","seed":")" << std::hex << seed << std::dec
                           << R"(","limits":{"cores":1.0,"memory_mb":)" << kMemoryMb
                           << R"(,"sockets":256},"bulletin":")" << addresses.discovery
                           << R"(","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,)" << R"("known":)"
                           << known << R"(,"settings":)" << settings(count(), longest_deadline_) << "}";
    std::filesystem::rename(scratch, folder / "config.json");
}

void RouterProcesses::write_half_a_configuration(std::size_t router) {
    std::ofstream{routers_.at(router)->folder / "config.json"} << R"({"name":"half)";
}

void RouterProcesses::start(std::size_t router) {
    if (running(router))
        return;
    ++routers_[router]->generation;
    const pid_t pid = ::fork();
    if (pid == 0)
        execute(router);
    routers_[router]->pid = pid;
}

// In the forked child.
void RouterProcesses::execute(std::size_t router) const {
    const Router& own = *routers_.at(router);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a soak that is ended leaves no process behind
    ::setenv("EDGE_CONFIG", (own.folder / "config.json").c_str(), 1);
    ::setenv("SILVERRAIL_SETTINGS", (own.folder / "settings.json").c_str(), 1);
    ::setenv("TMPDIR", (own.folder / "tmp").c_str(), 1);
    ::unsetenv("EDGE_LISTEN");
    ::unsetenv("EDGE_CONTROL");
    own.faults->set_environment(programs_.fault_library, seed_ * 100 + router + own.generation);
    const int log = ::open((own.folder / "log").c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // The sockets of this program's clients and servers: held open here, their ends would not be seen.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execl(programs_.router.c_str(), programs_.router.c_str(), nullptr);
    ::_exit(kCannotExecute);
}

std::size_t RouterProcesses::resident_kb(std::size_t router) const {
    if (!running(router))
        return 0;
    const std::string folder = "/proc/" + std::to_string(routers_[router]->pid);
    // Between fork and execution, the process is a copy of this one.
    std::error_code error;
    const auto program = std::filesystem::read_symlink(folder + "/exe", error);
    if (error || program.filename() != std::filesystem::path{programs_.router}.filename())
        return 0;
    constexpr std::string_view kResident = "VmRSS:";
    std::ifstream status{folder + "/status"};
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(kResident))
            return std::stoul(line.substr(kResident.size()));
    return 0;
}

void RouterProcesses::signal(std::size_t router, int number) {
    if (running(router))
        ::kill(routers_[router]->pid, number);
}

std::optional<int> RouterProcesses::exit_status(std::size_t router) {
    Router& own = *routers_.at(router);
    int status = 0;
    if (own.pid <= 0 || ::waitpid(own.pid, &status, WNOHANG) != own.pid)
        return std::nullopt;
    own.pid = -1;
    return status;
}

void RouterProcesses::kill(std::size_t router) {
    Router& own = *routers_.at(router);
    if (own.pid <= 0)
        return;
    ::kill(own.pid, SIGKILL);
    ::waitpid(own.pid, nullptr, 0);
    own.pid = -1;
}

std::uint64_t RouterProcesses::logged_violations(std::size_t router) const {
    std::ifstream log{routers_.at(router)->folder / "log"};
    std::uint64_t sum = 0;
    for (std::string line; std::getline(log, line);) {
        if (!line.starts_with(kCountersLine))
            continue;
        for (auto at = line.find(kViolations); at != std::string::npos; at = line.find(kViolations, at + 1))
            sum += std::strtoull(line.c_str() + at + kViolations.size(), nullptr, 10);
    }
    return sum;
}

}  // namespace silverrail::lab::soak
