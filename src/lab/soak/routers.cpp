#include "lab/soak/routers.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

namespace silverrail::lab::soak {

namespace {

constexpr const char* kOwnViolations = "violations ";

std::string in_ns(Millis span) {
    return std::to_string(span.count() * 1'000'000);
}

// The settings of every run. Times in nanoseconds.
std::string settings(std::size_t routers) {
    return R"({"allowed":{"cancel":true,"connect-timeout":400000000,"conn-idle":5000000000,"retry-after":true,)"
           R"("max-retry-after":300000000,"try-limit":5},"classes":[)"
           R"({"name":"pages","aim":250000000,"give-up":)" +
           in_ns(terms::kLongestDeadline) +
           R"(,"effect":"pure","late-worth":0.3},)"
           R"({"name":"lodge","aim":500000000,"give-up":)" +
           in_ns(terms::kLongestDeadline) +
           R"(,"effect":"side_effect"},)"
           R"({"name":"order","aim":500000000,"give-up":)" +
           in_ns(terms::kLongestDeadline) + R"(,"effect":"token","group":"all","window":)" +
           in_ns(terms::kWindow) +
           R"(}],"zone":"edge-1","dcs":["north","edge-1"],"weights":"nominal","balancers":)" +
           std::to_string(routers) +
           R"(,"kinds":["cache","hub","store"],"family-info":{"second-tier-kind":1,"origin-kind":2,)"
           R"("uncached":[false,true,true],"detail":"all","bypass-allowed":true,"shares-fills":true,)"
           R"("one-flow-kb-per-s":)" +
           std::to_string(terms::kFlowKbPerS) + R"(,"max-age":[)" + in_ns(terms::kMaxAge) +
           R"(,0,0],"class-grace":[)" + in_ns(terms::kGrace) +
           R"(,0,0],"stale-earns":[0.4,0,0],"heed-within":)" + in_ns(terms::kHeedWithin) +
           R"(,"cleared-within":)" + in_ns(terms::kClearedWithin) +
           R"(,"upper-cold-from":0.3,"parent-warms-in":6000000000,"parent-limit-factor":2},"invariants":{)"
           R"("drain-grace":)" +
           in_ns(terms::kDrainGrace) + R"(,"cold-from":)" + std::to_string(terms::kColdFrom) + R"(,"cold":)" +
           in_ns(terms::kColdFor) + R"(,"tip-multiple":)" + std::to_string(terms::kTipMultiple) +
           R"(,"fall":)" + in_ns(terms::kTipWindow) + "}}";
}

}  // namespace

Routers::Routers(Programs programs, std::filesystem::path folder, std::size_t count, std::uint64_t seed)
    : programs_(std::move(programs)), seed_(seed) {
    for (std::size_t i = 0; i < count; ++i) {
        auto router = std::make_unique<Router>();
        router->folder = folder / ("r" + std::to_string(i));
        std::filesystem::create_directories(router->folder / "tmp");
        router->faults = std::make_unique<FaultFile>((router->folder / "faults").string());
        std::ofstream{router->folder / "settings.json"} << "{}";
        routers_.push_back(std::move(router));
    }
}

Routers::~Routers() {
    for (std::size_t i = 0; i < routers_.size(); ++i)
        if (running(i))
            kill(i);
}

void Routers::configure(std::size_t router, const RouterPlaces& places, const std::string& known) {
    const auto& folder = routers_.at(router)->folder;
    const auto scratch = folder / "config.new";
    std::ofstream{scratch} << R"({"name":"r)" << router << R"(","listen":")" << places.listen
                           << R"(","seed":")" << std::hex
                           << (seed_ * 1000 + router * 10 + routers_[router]->generation) << std::dec
                           << R"(","limits":{"cores":1.0,"memory_mb":64,"sockets":256},"bulletin":")"
                           << places.discovery << R"(","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,)"
                           << R"("known":)" << known << R"(,"settings":)" << settings(routers_.size()) << "}";
    std::filesystem::rename(scratch, folder / "config.json");
}

void Routers::write_half_a_configuration(std::size_t router) {
    std::ofstream{routers_.at(router)->folder / "config.json"} << R"({"name":"half)";
}

void Routers::start(std::size_t router) {
    Router& r = *routers_.at(router);
    if (r.pid > 0)
        return;
    ++r.generation;
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a soak that is ended leaves nobody behind
        ::setenv("EDGE_CONFIG", (r.folder / "config.json").c_str(), 1);
        ::setenv("SILVERRAIL_SETTINGS", (r.folder / "settings.json").c_str(), 1);
        ::setenv("TMPDIR", (r.folder / "tmp").c_str(), 1);
        ::unsetenv("EDGE_LISTEN");
        ::unsetenv("EDGE_CONTROL");
        r.faults->set_environment(programs_.fault_library, seed_ * 100 + router + r.generation);
        const int log = ::open((r.folder / "log").c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        // The sockets of this program's clients and servers: held open there, their ends would not be seen.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execl(programs_.router.c_str(), programs_.router.c_str(), nullptr);
        ::_exit(127);
    }
    r.pid = pid;
}

void Routers::signal(std::size_t router, int signal) {
    if (running(router))
        ::kill(routers_[router]->pid, signal);
}

std::optional<int> Routers::ended(std::size_t router) {
    Router& r = *routers_.at(router);
    int status = 0;
    if (r.pid <= 0 || ::waitpid(r.pid, &status, WNOHANG) != r.pid)
        return std::nullopt;
    r.pid = -1;
    return status;
}

void Routers::kill(std::size_t router) {
    Router& r = *routers_.at(router);
    if (r.pid <= 0)
        return;
    ::kill(r.pid, SIGKILL);
    ::waitpid(r.pid, nullptr, 0);
    r.pid = -1;
}

std::uint64_t Routers::own_violations(std::size_t router) const {
    std::ifstream log{routers_.at(router)->folder / "log"};
    std::uint64_t sum = 0;
    for (std::string line; std::getline(log, line);)
        for (auto at = line.find(kOwnViolations); line.starts_with("counters ") && at != std::string::npos;
             at = line.find(kOwnViolations, at + 1))
            sum += std::strtoull(line.c_str() + at + std::char_traits<char>::length(kOwnViolations), nullptr,
                                 10);
    return sum;
}

}  // namespace silverrail::lab::soak
