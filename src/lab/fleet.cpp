#include "lab/fleet.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace silverrail::lab {

namespace asio = net::asio;
using net::tcp;
using udp = asio::ip::udp;

namespace {

// A port free for datagrams and streams alike at `ip`, let go right before the member takes it.
unsigned short free_port(const std::string& ip) {
    asio::io_context io;
    for (int tries = 0; tries < 50; ++tries) {
        udp::socket u{io, udp::endpoint{asio::ip::make_address(ip), 0}};
        const auto port = u.local_endpoint().port();
        net::error_code e;
        tcp::acceptor t{io};
        t.open(tcp::v4(), e);
        if (!e)
            t.bind(tcp::endpoint{asio::ip::make_address(ip), port}, e);
        if (!e)
            return port;
    }
    throw std::runtime_error("no free port at " + ip);
}

// Where a member listens for clients and operators; nobody connects from there.
std::string clients_ip(std::size_t i) {
    return Relay::loopback(110 + i);
}

std::string talk(const std::string& ip, unsigned short port, const std::string& bytes) {
    asio::io_context io;
    tcp::socket s{io};
    net::error_code e;
    s.connect(tcp::endpoint{asio::ip::make_address(ip), port}, e);
    if (e)
        return {};
    // The answer comes whole or not at all within two seconds.
    timeval most{2, 0};
    ::setsockopt(s.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
    asio::write(s, asio::buffer(bytes), e);
    if (e)
        return {};
    std::string out;
    std::array<char, 4096> chunk{};
    for (std::size_t n; (n = s.read_some(asio::buffer(chunk), e)) > 0 || !e;) {
        out.append(chunk.data(), n);
        if (out.size() > (1 << 20))
            break;
    }
    return out;
}

}  // namespace

Fleet::Fleet(Options options)
    : options_(std::move(options)),
      folder_(std::filesystem::temp_directory_path() / ("silverrail-fleet-" + std::to_string(::getpid()))),
      relay_(options_.members, options_.seed),
      pids_(options_.members, -1),
      pipes_(options_.members, -1),
      logs_(options_.members) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    for (std::size_t i = 0; i < options_.members; ++i) {
        peer_ports_.push_back(free_port(Relay::member_ip(i)));
        http_ports_.push_back(free_port(clients_ip(i)));
        control_ports_.push_back(free_port(clients_ip(i)));
        relay_.to(i, peer_ports_[i]);
    }
}

Fleet::~Fleet() {
    for (std::size_t i = 0; i < pids_.size(); ++i)
        if (pids_[i] > 0)
            kill(i);
    for (const int fd : pipes_)
        if (fd >= 0)
            ::close(fd);
    std::filesystem::remove_all(folder_);
}

std::string Fleet::peer_address(std::size_t i) const {
    return Relay::member_ip(i) + ":" + std::to_string(peer_ports_.at(i));
}
std::string Fleet::http(std::size_t i) const {
    return clients_ip(i) + ":" + std::to_string(http_ports_.at(i));
}

void Fleet::start(std::size_t i) {
    if (pids_.at(i) > 0)
        kill(i);
    const auto dir = folder_ / name(i);
    std::filesystem::create_directories(dir);
    const bool placed = !options_.places.empty();
    const std::string own = placed ? options_.places.at(i).zone : "edge-1";
    std::vector<Options::ServerRecord> listed;
    if (options_.servers)
        listed = options_.servers(i);
    else
        for (std::size_t k = 0; k < kServers; ++k)
            listed.push_back({server(k), "127.0.0.1:" + std::to_string(1 + k), "edge-1"});
    std::string servers;
    for (const auto& b : listed) {
        servers += servers.empty() ? R"({"id":")" : R"(,{"id":")";
        servers += b.id + R"(","addr":")" + b.address + R"(","zone":")" + b.zone + R"(","kind":")" + b.kind;
        servers += R"(","cell":1,"state":")" + b.state + R"(","weight":)" + std::to_string(b.weight) +
                   R"(,"started_ms":0})";
    }
    std::size_t in_zone = options_.members;
    if (placed)
        in_zone = static_cast<std::size_t>(
            std::count_if(options_.places.begin(), options_.places.end(),
                          [&own](const Options::Place& p) { return p.zone == own; }));
    std::ofstream{dir / "config.json"}
        << R"({"name":")" << name(i) << R"(","listen":")" << http(i) << R"(","seed":")" << (options_.seed + i)
        << R"(","bulletin":"","limits":{"sockets":256,"memory_mb":64},"flow_bytes_per_s":1e6,)"
        << R"("link_bytes_per_s":4e6,"known":{"no":1,"items":[{"no":1,"roster":{"full":true,"servers":[)"
        << servers << R"(]}}]},"settings":{"allowed":{"cancel":true,"connect-timeout":400000000,)"
        << R"("conn-idle":15000000000,"retry-after":true,"max-retry-after":500000000,"try-limit":6},"classes":[)"
        << R"({"name":"pages","aim":250000000,"give-up":5000000000,"effect":"pure"},)"
        << R"({"name":"lodge","aim":700000000,"give-up":5000000000,"effect":"side_effect"}],"zone":")" << own
        << R"(","dcs":[")" << own << R"("],"weights":"rough","balancers":)" << options_.members
        << R"(,"kinds":["small-box","parent","origin"],"family-info":{"second-tier-kind":1,"origin-kind":2,)"
        << R"("zone-balancers":[)" << in_zone << R"(],"uncached":[false,true],"detail":"all")"
        << options_.family << R"(},"invariants":)" << options_.rules << "}}";
    std::ofstream{dir / "settings.json"} << R"({"peers":{"name":")" << name(i) << R"(","zone":")"
                                         << (placed ? own : "z" + std::to_string(i % 3)) << R"(","region":")"
                                         << (placed ? options_.places[i].region : "r1") << R"(","bind":")"
                                         << peer_address(i) << R"(","advertise":")" << relay_.address(i)
                                         << R"(","seeds":[")" << relay_.address(0) << R"("])"
                                         << options_.peers_extra << "}}";
    int fds[2];
    if (::pipe2(fds, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that fails leaves nobody behind
        ::setenv("EDGE_CONFIG", (dir / "config.json").c_str(), 1);
        ::setenv("SILVERRAIL_SETTINGS", (dir / "settings.json").c_str(), 1);
        ::setenv("EDGE_CONTROL", (clients_ip(i) + ":" + std::to_string(control_ports_[i])).c_str(), 1);
        ::setenv("TMPDIR", dir.c_str(), 1);
        ::unsetenv("EDGE_LISTEN");
        ::dup2(fds[1], STDERR_FILENO);
        ::execl(options_.program.c_str(), options_.program.c_str(), nullptr);
        ::_exit(127);
    }
    ::close(fds[1]);
    if (pipes_[i] >= 0)
        ::close(pipes_[i]);
    pipes_[i] = fds[0];
    ::fcntl(fds[0], F_SETFL, O_NONBLOCK);
    pids_[i] = pid;
}

void Fleet::signal(std::size_t i, int sig) {
    if (pids_.at(i) > 0)
        ::kill(pids_[i], sig);
}

void Fleet::kill(std::size_t i) {
    if (pids_.at(i) <= 0)
        return;
    ::kill(pids_[i], SIGKILL);
    ::waitpid(pids_[i], nullptr, 0);
    pids_[i] = -1;
}

void Fleet::read_logs(int wait_ms) {
    std::vector<pollfd> fds;
    for (const int fd : pipes_)
        fds.push_back({fd, POLLIN, 0});
    if (::poll(fds.data(), fds.size(), wait_ms) <= 0)
        return;
    std::array<char, 8192> chunk{};
    for (std::size_t i = 0; i < pipes_.size(); ++i) {
        if (pipes_[i] < 0)
            continue;
        for (ssize_t n; (n = ::read(pipes_[i], chunk.data(), chunk.size())) > 0;)
            if (logs_[i].size() < (8u << 20))
                logs_[i].append(chunk.data(), static_cast<std::size_t>(n));
    }
}

bool Fleet::wait_until(const std::function<bool()>& done, std::chrono::milliseconds most) {
    const auto until = std::chrono::steady_clock::now() + most;
    while (std::chrono::steady_clock::now() < until) {
        if (done())
            return true;
        // A log line wakes us at once; without one, look again after a tenth of a second.
        read_logs(100);
    }
    return done();
}

std::string Fleet::call(std::size_t i, const std::string& line) {
    return talk(clients_ip(i), control_ports_.at(i), line + "\n");
}

int Fleet::ask(std::size_t i, const std::string& class_name, std::uint64_t object, std::string* id) {
    const bool write = class_name == "lodge";
    char call_id[17];
    std::snprintf(call_id, sizeof call_id, "f1ee%012llx", static_cast<unsigned long long>(++asked_));
    if (id)
        *id = call_id;
    char path[64];
    std::snprintf(path, sizeof path, "/%016llx/piece-0", static_cast<unsigned long long>(object));
    const auto text =
        talk(clients_ip(i), http_ports_.at(i),
             (write ? "PUT /ops/" : "GET /ops/") + class_name + path +
                 " HTTP/1.1\r\nHost: fleet\r\nTrace-Id: " + call_id +
                 "\r\nMax-Wait-Ms: 1500\r\nX-Lot: 1\r\nReserve-Kb: 25\r\n" + "Connection: close\r\n" +
                 (write ? "Content-Length: 9\r\n\r\ntimesheet" : "\r\n"));
    const std::string_view kHead = "HTTP/1.1 ";
    if (text.rfind(kHead, 0) != 0)
        return 0;
    if (text.find(kHead, kHead.size()) != std::string::npos)
        return -1;
    return std::atoi(text.c_str() + kHead.size());
}

std::map<std::string, std::uint64_t> Fleet::digest(std::size_t i) {
    std::map<std::string, std::uint64_t> out;
    std::istringstream lines{call(i, "REPLICA")};
    std::string line, origin;
    std::uint64_t number = 0;
    while (std::getline(lines, line) && line != "--") {
        std::istringstream words{line};
        if (words >> origin >> number)
            out[origin] = number;
    }
    return out;
}

View Fleet::view(std::size_t i) {
    View out;
    std::istringstream lines{call(i, "MEMBERS")};
    std::string name, state;
    std::uint64_t incarnation = 0, start = 0;
    std::string line;
    while (std::getline(lines, line) && line != "--") {
        std::istringstream words{line};
        if (words >> name >> state >> incarnation >> start)
            out[name] = {state, incarnation, start};
    }
    return out;
}

std::map<std::string, std::uint64_t> Fleet::counters(std::size_t i) {
    const auto text = talk(clients_ip(i), http_ports_.at(i),
                           "GET /counters HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n");
    std::map<std::string, std::uint64_t> out;
    const auto body = text.find("\r\n\r\n");
    if (body == std::string::npos)
        return out;
    std::istringstream lines{text.substr(body + 4)};
    std::string name;
    std::uint64_t value = 0;
    while (lines >> name >> value)
        out[name] = value;
    return out;
}

bool Fleet::everyone_sees(std::size_t who, const std::string& state, const std::vector<std::size_t>& except) {
    for (std::size_t i = 0; i < pids_.size(); ++i) {
        if (!running(i) || i == who || std::find(except.begin(), except.end(), i) != except.end())
            continue;
        const auto v = view(i);
        const auto found = v.find(name(who));
        if (found == v.end() || found->second.state != state)
            return false;
    }
    return true;
}

bool Fleet::agree(const std::vector<std::size_t>& except) {
    for (std::size_t who = 0; who < pids_.size(); ++who)
        if (running(who) && !everyone_sees(who, "alive", except))
            return false;
    return true;
}

}  // namespace silverrail::lab
