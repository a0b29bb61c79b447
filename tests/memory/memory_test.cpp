// Guards against a process that passes its memory limit: crowds of clients, in forms that cost much memory,
// before the real program. Its peak of resident memory must stay under nine tenths of the limit, usual
// clients must be served, and the memory must be given back. Measured on the Release program, as a
// sanitizer's own memory would count otherwise.
//
//   silverrail_memory_test crowds|upgrade|SCENARIO [MEGABYTES]
#include <map>

#include "../silverrail/router_process.h"
#include "client_crowd.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

constexpr int kCrowd = 360;
constexpr int kDescriptors = 1024;
constexpr auto kPlayed = 4s;
// Resident memory after the crowd has left, above that before it.
constexpr std::size_t kNearIdleKb = 4096;
constexpr std::size_t kAnswerBytes = 240'000;

// A figure of /proc/PID/status in KB, such as VmHWM.
std::size_t status_kb(pid_t pid, const std::string& figure) {
    std::ifstream in{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(figure + ":"))
            return std::stoul(line.substr(figure.size() + 1));
    return 0;
}

// Resident memory of a process that runs the program; 0 until it does.
std::size_t program_resident_kb(pid_t pid) {
    std::error_code error;
    const auto program = std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/exe", error);
    return !error && program.filename() == std::filesystem::path{SILVERRAIL_PROGRAM}.filename()
               ? status_kb(pid, "VmRSS")
               : 0;
}

// One client that behaves: reads one at a time, each on a connection of its own, with a pause between them
// that keeps the router's response cache from growing much.
class UsualClient {
public:
    UsualClient(asio::io_context& io, const tcp::endpoint& to) : io_(io), to_(to) {}
    void poll() {
        const auto now = std::chrono::steady_clock::now();
        if ((client_ && !client_->done) || now < next_)
            return;
        next_ = now + kPause;
        if (client_) {
            ++ended_;
            served_ += !client_->broken && client_->status() == 200 ? 1 : 0;
            unanswered_ += client_->broken ? 1 : 0;
        }
        char object[17];
        std::snprintf(object, sizeof object, "%016zx", ended_);
        client_ = std::make_unique<Client>(io_, to_);
        client_->send(make_request("pages", object, 2000));
    }
    std::size_t ended_ = 0;
    std::size_t served_ = 0;
    std::size_t unanswered_ = 0;

private:
    static constexpr auto kPause = 5ms;
    asio::io_context& io_;
    tcp::endpoint to_;
    std::unique_ptr<Client> client_;
    std::chrono::steady_clock::time_point next_{};
};

struct Fixture {
    explicit Fixture(int megabytes)
        : limit_kb{static_cast<std::size_t>(megabytes) * 1024},
          control{free_endpoint()},
          program{discovery.address(),
                  server.address(),
                  text_of(control),
                  nullptr,
                  {.sockets = kDescriptors, .memory_mb = megabytes, .operator_settings = "{}"}} {
        run_until(io, [&] { return program.listens(); });
        discovery_timer();
    }
    void discovery_timer() {
        timer.expires_after(500ms);
        timer.async_wait([this](const net::error_code& error) {
            if (error)
                return;
            if (!discovery.resumed_after.empty())
                discovery.say(": here\n\n");
            discovery_timer();
        });
    }
    // Runs for the time given; `each` is called every few ms.
    template <class Each>
    void run_for(std::chrono::milliseconds time, Each each) {
        const auto end = std::chrono::steady_clock::now() + time;
        run_until(io, [&] {
            each();
            return std::chrono::steady_clock::now() >= end;
        });
    }
    std::size_t peak_kb() const {
        return status_kb(program.pid(), "VmHWM");
    }
    std::size_t resident_kb() const {
        return status_kb(program.pid(), "VmRSS");
    }
    asio::io_context io;
    asio::steady_timer timer{io};
    DiscoveryServer discovery{io};
    Server server{io};
    std::size_t limit_kb;
    tcp::endpoint control;
    RouterProcess program;
};

using AddClient = void (*)(ClientCrowd& crowd, int index);

struct Scenario {
    AddClient add;
    std::chrono::milliseconds paced{};
    bool server_hangs = false;
    std::size_t answer_bytes = 20;
    bool fills_cache = false;  // with answers to many reads, or to large ones
    int usual_share = 2;       // one in so many of the usual client's reads must be served
};

const std::map<std::string, Scenario> kScenarios{
    {"incomplete_writes_with_short_fields",
     {.add =
          [](ClientCrowd& crowd, int) {
              crowd.add(incomplete_write(1700));
          }}},
    {"incomplete_writes",
     {.add =
          [](ClientCrowd& crowd, int) {
              crowd.add(incomplete_write(0));
          }}},
    {"slow_writes", {.add = [](ClientCrowd& crowd, int) { crowd.add(incomplete_write(0)); }, .paced = 100ms}},
    {"complete_writes",
     {.add =
          [](ClientCrowd& crowd, int) {
              crowd.add(complete_write(0));
          }}},
    {"complete_writes_to_a_hanging_server",
     {.add = [](ClientCrowd& crowd, int) { crowd.add(complete_write(1500)); },
      .server_hangs = true,
      .usual_share = 0}},
    {"reads_with_short_fields",
     {.add =
          [](ClientCrowd& crowd, int) {
              crowd.add(read_with_fields(1950));
          }}},
    {"incomplete_headers",
     {.add =
          [](ClientCrowd& crowd, int) {
              crowd.add(incomplete_header(1950));
          }}},
    {"pipelined_reads",
     {.add = [](ClientCrowd& crowd, int) { crowd.add(pipelined_reads(100)); }, .fills_cache = true}},
    {"chunks_of_single_bytes",
     {.add =
          [](ClientCrowd& crowd, int) {
              crowd.add(chunked_write_of_single_bytes());
          }}},
    {"slow_readers",
     {.add = [](ClientCrowd& crowd, int) { crowd.add(pipelined_reads(30), false); },
      .answer_bytes = kAnswerBytes,
      .fills_cache = true}},
    {"mixed",
     {.add =
          [](ClientCrowd& crowd, int index) {
              switch (index % 4) {
                  case 0:
                      return crowd.add(incomplete_write(1700));
                  case 1:
                      return crowd.add(complete_write(0));
                  case 2:
                      return crowd.add(read_with_fields(1950));
                  default:
                      return crowd.add(incomplete_header(1950));
              }
          },
      .answer_bytes = 60'000,
      .fills_cache = true}},
};

// The crowd comes back whenever it is sent away, as clients do that try again at once.
void crowd_stays_within_the_limit(const Scenario& scenario, const std::string& name, int megabytes) {
    Fixture f{megabytes};
    f.server.response = Server::hit(std::string(scenario.answer_bytes, 'x'));
    UsualClient usual{f.io, f.program.at};
    f.run_for(500ms, [&] { usual.poll(); });
    const std::size_t idle_kb = f.resident_kb();
    if (scenario.server_hangs)
        f.server.behaviour = Server::Behaviour::never_respond;
    ClientCrowd crowd{f.io, f.program.at, scenario.paced};
    crowd.reconnect(true);
    for (int i = 0; i < kCrowd; ++i)
        scenario.add(crowd, i);
    const auto before = usual.ended_;
    const auto served_before = usual.served_;
    f.run_for(kPlayed, [&] { usual.poll(); });
    const std::size_t peak_kb = f.peak_kb();
    const std::size_t asked = usual.ended_ - before;
    const std::size_t served = usual.served_ - served_before;
    crowd.leave();
    f.run_for(4s, [] {});
    const std::size_t after_kb = f.resident_kb();
    std::fprintf(stderr,
                 "%s, %d MB: idle %zu KB, peak %zu KB, after %zu KB; usual client: %zu of %zu served, %zu "
                 "unanswered\n",
                 name.c_str(), megabytes, idle_kb, peak_kb, after_kb, served, asked, usual.unanswered_);
    CHECK(!f.program.ended());
    CHECK(peak_kb > 0 && peak_kb < f.limit_kb * 9 / 10);
    // What was read stays in the response cache, which may take an eighth of the memory.
    const std::size_t cache_kb = scenario.fills_cache ? f.limit_kb / 8 : 0;
    CHECK(after_kb < idle_kb + kNearIdleKb + cache_kb);
    if (scenario.usual_share > 0)
        CHECK(asked > 0 && served * static_cast<std::size_t>(scenario.usual_share) >= asked);
}

// Both processes of an upgrade together, the second started while the first holds a crowd.
void upgrade_stays_within_the_limit(int megabytes) {
    Fixture f{megabytes};
    ClientCrowd crowd{f.io, f.program.at};
    crowd.reconnect(true);
    for (int i = 0; i < kCrowd; ++i)
        crowd.add(i % 2 == 0 ? incomplete_write(1700) : complete_write(0));
    f.run_for(1500ms, [] {});
    f.timer.cancel();  // discovery's connection to the first process will end
    const pid_t next = f.program.start(text_of(free_endpoint()));
    std::size_t peak_kb = 0;
    std::size_t first_kb = 0;  // the first process's part of the peak
    const auto sample = [&] {
        const std::size_t first_now_kb = f.resident_kb();
        const std::size_t both_kb = first_now_kb + program_resident_kb(next);
        first_kb = both_kb > peak_kb ? first_now_kb : first_kb;
        peak_kb = std::max(peak_kb, both_kb);
    };
    f.run_for(2s, sample);
    f.program.end();
    f.run_for(3s, sample);
    std::fprintf(stderr, "upgrade, %d MB: peak of both %zu KB, %zu KB of it the first's\n", megabytes,
                 peak_kb, first_kb);
    CHECK(::kill(next, SIGKILL) == 0 && ::waitpid(next, nullptr, 0) == next);
    crowd.leave();
    CHECK(peak_kb < f.limit_kb * 9 / 10);
}

}  // namespace

int main(int argc, char** argv) {
    const std::string name = argc > 1 ? argv[1] : "";
    const int megabytes = argc > 2 ? std::stoi(argv[2]) : 32;
    if (name == "upgrade") {
        upgrade_stays_within_the_limit(megabytes);
        return 0;
    }
    CHECK(name == "crowds" || kScenarios.contains(name));
    for (const auto& [scenario_name, scenario] : kScenarios)
        if (name == "crowds" || name == scenario_name)
            crowd_stays_within_the_limit(scenario, scenario_name, megabytes);
}
