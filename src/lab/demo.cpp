// The demo: starts stand-in servers and the real program on loopback, sends some hundred requests of all
// classes, lets a server go and a purge come meanwhile, ends the program, and looks at the trace that it
// recorded. Exit code 0 only if every request had its one answer, every byte was right and no write ran
// twice.
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>

#include "config/config.h"
#include "lab/servers.h"

namespace silverrail::lab {
namespace {

namespace asio = net::asio;
namespace http = net::http;
namespace fs = std::filesystem;
using net::error_code;
using net::tcp;
using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

constexpr int kRequests = 600;
constexpr int kClients = 12;

struct Tally {
    int asked = 0, served = 0, unchanged = 0, refused = 0, failed = 0, lost = 0, wrong = 0;
    double sum_ms = 0, most_ms = 0;
};

std::string hex(std::uint64_t v) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(v));
    return text;
}

// One client: asks, waits for the answer, asks again.
class Client : public std::enable_shared_from_this<Client> {
public:
    struct Day {
        std::mt19937_64 random;
        int left = kRequests;
        int open = 0;
        std::map<std::string, Tally> tallies;
    };
    Client(asio::io_context& io, tcp::endpoint to, Day& day) : socket_(io), to_(to), day_(day) {}
    void start() {
        error_code error;
        socket_.connect(to_, error);
        if (!error)
            ask();
    }

private:
    void ask() {
        if (day_.left == 0)
            return;
        --day_.left;
        ++day_.open;
        const auto dice = day_.random() % 100;
        class_name_ = kRequestClasses[dice < 54 ? 0 : dice < 90 ? 1 : 2];
        const bool write = class_name_ == kRequestClasses[2];
        object_ = hex(write ? day_.random() : day_.random() % 60 * 0x9e3779b97f4a7c15U);
        part_ = write ? "0" : std::to_string(day_.random() % 2);
        request_ = {write ? http::verb::put : http::verb::get,
                    "/ops/" + class_name_ + "/" + object_ + "/piece-" + part_, 11};
        request_.set(http::field::host, "app.svc");
        request_.set("Trace-Id", hex(day_.random()));
        request_.set("Max-Wait-Ms", write ? "3000" : "2500");
        request_.set("X-Lot", std::to_string(day_.random() % 256));
        if (write)
            request_.body() = "hours: 38";
        request_.prepare_payload();
        response_ = {};
        asked_ = Steady::now();
        ++day_.tallies[class_name_].asked;
        http::async_write(socket_, request_, [](const error_code&, std::size_t) {});
        http::async_read(
            socket_, buffer_, response_,
            [self = shared_from_this()](const error_code& error, std::size_t) { self->answered(error); });
    }
    void answered(const error_code& error) {
        Tally& t = day_.tallies[class_name_];
        --day_.open;
        const double ms = std::chrono::duration<double, std::milli>(Steady::now() - asked_).count();
        t.sum_ms += ms;
        t.most_ms = std::max(t.most_ms, ms);
        if (error) {
            ++t.lost;
            return;
        }
        switch (response_.result_int()) {
            case 200:
                ++t.served;
                t.wrong += response_.body() != bytes_of(class_name_, object_, part_);
                break;
            case 304:
                ++t.unchanged;
                break;
            case 429:
            case 503:
                ++t.refused;
                break;
            default:
                ++t.failed;
        }
        ask();
    }
    tcp::socket socket_;
    tcp::endpoint to_;
    Day& day_;
    net::beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
    std::string class_name_, object_, part_;
    Steady::time_point asked_;
};

// Runs a program and waits for it; its exit code, or -1.
int run(const std::vector<std::string>& words) {
    const pid_t pid = ::fork();
    if (pid == 0) {
        std::vector<char*> argv;
        for (const auto& w : words)
            argv.push_back(const_cast<char*>(w.c_str()));
        argv.push_back(nullptr);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    int status = 0;
    if (pid < 0 || ::waitpid(pid, &status, 0) != pid || !WIFEXITED(status))
        return -1;
    return WEXITSTATUS(status);
}

class Demo {
public:
    explicit Demo(std::string program) : program_(std::move(program)) {
        folder_ = fs::temp_directory_path() / ("silverrail-demo-" + std::to_string(::getpid()));
        fs::create_directories(folder_);
    }
    ~Demo() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        std::error_code ignored;
        fs::remove_all(folder_, ignored);
    }
    int go() {
        start_servers();
        start_program();
        Client::Day day;
        day.random.seed(7);
        for (int i = 0; i < kClients; ++i)
            std::make_shared<Client>(io_, at_, day)->start();
        bool purged = false;
        bool drained = false;
        const bool done = until(
            [&] {
                if (!purged && day.left < kRequests * 2 / 3) {
                    purged = true;
                    discovery_.say(purge_event(0, hex(0), unix_ms()));
                }
                if (!drained && day.left < kRequests / 3) {
                    drained = true;
                    discovery_.say(endpoint_list_event(0, false, {endpoint_json(plans_[0], "leaving")}));
                }
                return day.left == 0 && day.open == 0;
            },
            40s);
        ::kill(pid_, SIGTERM);
        int status = -1;
        const bool ended = until([&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; }, 10s);
        if (ended)
            pid_ = -1;
        return report(day, done, ended && WIFEXITED(status) && WEXITSTATUS(status) == 0);
    }

private:
    static std::int64_t unix_ms() {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    template <class Test>
    bool until(Test test, Steady::duration most) {
        const auto bound = Steady::now() + most;
        while (!test()) {
            if (Steady::now() > bound)
                return false;
            io_.restart();
            io_.run_one_for(20ms);
        }
        return true;
    }
    void start_servers() {
        const auto find = [this](const std::string& id) -> std::string {
            for (const auto& s : servers_)
                if (s->id() == id)
                    return s->address();
            return {};
        };
        const auto add = [&](const std::string& id, Server::Role role, const char* kind) {
            servers_.push_back(std::make_unique<Server>(io_, id, role, find));
            plans_.push_back({id, servers_.back()->address(), kind, 10, 1, 0});
        };
        for (const char* id : {"s-one", "s-two", "s-three", "s-four"})
            add(id, Server::Role::server, "small-box");
        add("hub", Server::Role::hub, "hub");
        add("store", Server::Role::store, "store");
        discovery_.begin_after(1);
    }
    void start_program() {
        at_ = tcp::acceptor{io_, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}}.local_endpoint();
        Json::Value config =
            router_config("demo", 7, "127.0.0.1:" + std::to_string(at_.port()), discovery_.address(), 1);
        std::vector<Json::Value> all;
        for (const auto& plan : plans_)
            all.push_back(endpoint_json(plan, "active"));
        config["known"]["no"] = 1;
        config["known"]["items"].append(endpoint_list_event(1, true, all));
        std::ofstream{folder_ / "config.json"} << config::json_line(config);
        Json::Value settings;
        settings["trace"]["folder"] = (folder_ / "traces").string();
        std::ofstream{folder_ / "settings.json"} << config::json_line(settings);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::setenv("EDGE_CONFIG", (folder_ / "config.json").c_str(), 1);
            ::setenv("SILVERRAIL_SETTINGS", (folder_ / "settings.json").c_str(), 1);
            ::unsetenv("EDGE_LISTEN");
            const int log = ::open((folder_ / "log").c_str(), O_CREAT | O_WRONLY, 0600);
            ::dup2(log, STDERR_FILENO);
            ::execl(program_.c_str(), program_.c_str(), "serve", nullptr);
            ::_exit(127);
        }
        const bool up = until(
            [&] {
                error_code error;
                tcp::socket socket{io_};
                socket.connect(at_, error);
                return !error;
            },
            10s);
        if (!up)
            std::puts("the program did not come up");
    }
    int report(const Client::Day& day, bool done, bool ended) {
        std::printf("%-14s %6s %7s %9s %7s %6s %5s %9s %9s\n", "class", "asked", "served", "unchanged",
                    "refused", "failed", "lost", "mean ms", "most ms");
        int bad = 0;
        for (const auto& [name, t] : day.tallies) {
            std::printf("%-14s %6d %7d %9d %7d %6d %5d %9.1f %9.1f\n", name.c_str(), t.asked, t.served,
                        t.unchanged, t.refused, t.failed, t.lost, t.sum_ms / std::max(1, t.asked), t.most_ms);
            bad += t.lost + t.wrong + (t.served == 0);
        }
        int twice = 0;
        for (const auto& [id, runs] : servers_.back()->runs())
            twice += runs > 1;
        for (const auto& s : servers_) {
            const auto& c = s->counts();
            std::printf("%-8s asked %llu, hits %llu, fills %llu, misses %llu, writes %llu\n", s->id().c_str(),
                        static_cast<unsigned long long>(c.asked), static_cast<unsigned long long>(c.hits),
                        static_cast<unsigned long long>(c.fills), static_cast<unsigned long long>(c.misses),
                        static_cast<unsigned long long>(c.writes));
        }
        std::printf("writes that ran twice: %d\n", twice);
        std::fflush(stdout);
        std::vector<std::string> files;
        std::error_code none;
        for (const auto& f : fs::directory_iterator{folder_ / "traces", none})
            files.push_back(f.path().string());
        int trace = files.size() == 1 ? 0 : 1;
        if (trace == 0) {
            std::puts("\nwhat it recorded of itself:");
            std::fflush(stdout);
            trace = run({program_, "trace", "summary", files[0]});
            if (trace == 0)
                trace = run({program_, "trace", "replay", files[0]});
        }
        const bool good = done && ended && bad == 0 && twice == 0 && trace == 0;
        if (!good) {
            std::ifstream log{folder_ / "log"};
            std::printf("\nnot as it should be: done %d, ended %d, trace %d; the program said:\n%s", done,
                        ended, trace, std::string{std::istreambuf_iterator<char>{log}, {}}.c_str());
        }
        return good ? 0 : 1;
    }

    std::string program_;
    fs::path folder_;
    asio::io_context io_;
    DiscoveryWatch discovery_{io_};
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<SampleServer> plans_;
    tcp::endpoint at_;
    pid_t pid_ = -1;
};

}  // namespace
}  // namespace silverrail::lab

int main(int argc, char** argv) {
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s PROGRAM\n", argv[0]);
        return 2;
    }
    try {
        return silverrail::lab::Demo{argv[1]}.go();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return 1;
    }
}
