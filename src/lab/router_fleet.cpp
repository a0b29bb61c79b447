#include "lab/router_fleet.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "config/config.h"
#include "config/hex.h"

namespace silverrail::lab {

namespace asio = net::asio;
using net::tcp;
using udp = asio::ip::udp;
using namespace std::chrono_literals;

namespace {

constexpr int kPortAttempts = 50;
constexpr std::uint64_t kFirstRequestId = 0xf1ee'0000'0000'0000;
constexpr std::size_t kFirstClientByte = 110;
constexpr timeval kAnswerTimeout{2, 0};
constexpr std::size_t kMaxAnswer = 1 << 20;
constexpr std::size_t kMaxLog = 8 << 20;
constexpr std::chrono::milliseconds kPollInterval = 100ms;
constexpr int kCannotExecute = 127;

// A port that is free for datagrams and streams alike, released for a member to bind at once.
unsigned short free_port(const std::string& ip) {
    const auto address = asio::ip::make_address(ip);
    asio::io_context io;
    for (int attempt = 0; attempt < kPortAttempts; ++attempt) {
        const udp::socket datagrams{io, udp::endpoint{address, 0}};
        const auto port = datagrams.local_endpoint().port();
        net::error_code error;
        tcp::acceptor streams{io};
        streams.open(tcp::v4(), error);
        if (!error)
            streams.bind(tcp::endpoint{address, port}, error);
        if (!error)
            return port;
    }
    throw std::runtime_error("no free port at " + ip);
}

// Where a member listens for clients and operators; nobody connects from there.
std::string client_ip(std::size_t member) {
    return FaultProxy::process_loopback_ip(kFirstClientByte + member);
}

// Sends `bytes` and returns all that is answered until the end of the connection, or until nothing comes for
// kAnswerTimeout; empty if nobody listens.
std::string exchange(const std::string& ip, unsigned short port, const std::string& bytes) {
    asio::io_context io;
    tcp::socket socket{io};
    net::error_code error;
    socket.connect(tcp::endpoint{asio::ip::make_address(ip), port}, error);
    if (error)
        return {};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kAnswerTimeout, sizeof kAnswerTimeout);
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    std::array<char, 4096> chunk{};
    while (!error && answer.size() <= kMaxAnswer) {
        const std::size_t size = socket.read_some(asio::buffer(chunk), error);
        answer.append(chunk.data(), size);
    }
    return answer;
}

// The lines of a control answer, up to the "--" that ends it.
void for_each_line(const std::string& answer, const std::function<void(std::istringstream& words)>& handle) {
    std::istringstream lines{answer};
    std::string line;
    while (std::getline(lines, line) && line != "--") {
        std::istringstream words{line};
        handle(words);
    }
}

int status_of(const std::string& answer) {
    constexpr std::string_view kStatusLine = "HTTP/1.1 ";
    if (!answer.starts_with(kStatusLine))
        return RouterFleet::kNoAnswer;
    if (answer.find(kStatusLine, kStatusLine.size()) != std::string::npos)
        return RouterFleet::kSeveralAnswers;
    return std::atoi(answer.c_str() + kStatusLine.size());
}

bool contains(const std::vector<std::size_t>& members, std::size_t member) {
    return std::find(members.begin(), members.end(), member) != members.end();
}

}  // namespace

RouterFleet::RouterFleet(FleetOptions options)
    : options_(std::move(options)),
      folder_(std::filesystem::temp_directory_path() / ("silverrail-fleet-" + std::to_string(::getpid()))),
      proxy_(options_.members, options_.seed),
      processes_(options_.members) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    for (std::size_t member = 0; member < members(); ++member) {
        Process& process = processes_[member];
        process.peer_port = free_port(FaultProxy::member_ip(member));
        process.client_port = free_port(client_ip(member));
        process.control_port = free_port(client_ip(member));
        proxy_.set_member_port(member, process.peer_port);
    }
}

RouterFleet::~RouterFleet() {
    for (std::size_t member = 0; member < members(); ++member) {
        kill(member);
        if (processes_[member].log_pipe >= 0)
            ::close(processes_[member].log_pipe);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::filesystem::path RouterFleet::folder(std::size_t member) const {
    return folder_ / member_name(member);
}

std::string RouterFleet::peer_address(std::size_t member) const {
    return FaultProxy::member_ip(member) + ":" + std::to_string(processes_.at(member).peer_port);
}

void RouterFleet::write_files(std::size_t member) {
    std::filesystem::create_directories(folder(member));
    const MemberAddresses addresses{
        .clients = client_ip(member) + ":" + std::to_string(processes_.at(member).client_port),
        .peers = peer_address(member),
        .advertised = proxy_.address(member),
        .seed = proxy_.address(0)};
    std::ofstream{folder(member) / "config.json"}
        << config::json_line(member_config(options_, member, addresses));
    std::ofstream{folder(member) / "settings.json"}
        << config::json_line(member_settings(options_, member, addresses));
}

void RouterFleet::start(std::size_t member) {
    kill(member);
    write_files(member);
    int pipe_ends[2];
    if (::pipe2(pipe_ends, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    const pid_t pid = ::fork();
    if (pid == 0)
        execute(member, pipe_ends[1]);
    ::close(pipe_ends[1]);
    Process& process = processes_[member];
    if (process.log_pipe >= 0)
        ::close(process.log_pipe);
    process.log_pipe = pipe_ends[0];
    ::fcntl(process.log_pipe, F_SETFL, O_NONBLOCK);
    process.pid = pid;
}

// In the forked child.
void RouterFleet::execute(std::size_t member, int log) const {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that fails leaves no process behind
    const std::string control = client_ip(member) + ":" + std::to_string(processes_.at(member).control_port);
    ::setenv("EDGE_CONFIG", (folder(member) / "config.json").c_str(), 1);
    ::setenv("SILVERRAIL_SETTINGS", (folder(member) / "settings.json").c_str(), 1);
    ::setenv("EDGE_CONTROL", control.c_str(), 1);
    ::setenv("TMPDIR", folder(member).c_str(), 1);
    ::unsetenv("EDGE_LISTEN");
    ::dup2(log, STDERR_FILENO);
    ::execl(options_.program.c_str(), options_.program.c_str(), nullptr);
    ::_exit(kCannotExecute);
}

void RouterFleet::signal(std::size_t member, int number) {
    if (running(member))
        ::kill(pid(member), number);
}

void RouterFleet::kill(std::size_t member) {
    if (!running(member))
        return;
    ::kill(pid(member), SIGKILL);
    ::waitpid(pid(member), nullptr, 0);
    processes_[member].pid = -1;
}

void RouterFleet::read_logs(std::chrono::milliseconds timeout) {
    std::vector<pollfd> polled;
    polled.reserve(processes_.size());
    for (const Process& process : processes_)
        polled.push_back({process.log_pipe, POLLIN, 0});  // a negative descriptor is passed over
    if (::poll(polled.data(), polled.size(), static_cast<int>(timeout.count())) <= 0)
        return;
    std::array<char, 8192> chunk{};
    for (Process& process : processes_) {
        if (process.log_pipe < 0)
            continue;
        ssize_t size = 0;
        while ((size = ::read(process.log_pipe, chunk.data(), chunk.size())) > 0)
            if (process.log.size() < kMaxLog)
                process.log.append(chunk.data(), static_cast<std::size_t>(size));
    }
}

bool RouterFleet::wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        read_logs(kPollInterval);
    }
    return condition();
}

void RouterFleet::wait_for(std::chrono::milliseconds span) {
    wait_until([] { return false; }, span);
}

std::string RouterFleet::control(std::size_t member, const std::string& command) {
    return exchange(client_ip(member), processes_.at(member).control_port, command + "\n");
}

MembershipView RouterFleet::membership(std::size_t member) {
    MembershipView view;
    for_each_line(control(member, "MEMBERS"), [&view](std::istringstream& words) {
        std::string name;
        MemberStatus status;
        if (words >> name >> status.state >> status.incarnation >> status.start)
            view[name] = status;
    });
    return view;
}

CounterValues RouterFleet::replica_digest(std::size_t member) {
    CounterValues versions;
    for_each_line(control(member, "REPLICA"), [&versions](std::istringstream& words) {
        std::string origin;
        std::uint64_t version = 0;
        if (words >> origin >> version)
            versions[origin] = version;
    });
    return versions;
}

CounterValues RouterFleet::counters(std::size_t member) {
    const std::string answer = exchange(client_ip(member), processes_.at(member).client_port,
                                        "GET /counters HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n");
    CounterValues values;
    const auto header_end = answer.find("\r\n\r\n");
    if (header_end == std::string::npos)
        return values;
    std::istringstream words{answer.substr(header_end + 4)};
    std::string name;
    std::uint64_t value = 0;
    while (words >> name >> value)
        values[name] = value;
    return values;
}

int RouterFleet::request(std::size_t member, const std::string& class_name, std::uint64_t object,
                         std::string* id) {
    const bool is_write = class_name == "lodge";
    const std::string request_id = config::hex_text(kFirstRequestId + ++requests_);
    if (id)
        *id = request_id;
    std::string bytes = is_write ? "PUT" : "GET";
    bytes += " /ops/" + class_name + "/" + config::hex_text(object) + "/piece-0 HTTP/1.1\r\n";
    bytes += "Host: fleet\r\nTrace-Id: " + request_id + "\r\n";
    bytes += "Max-Wait-Ms: 1500\r\nX-Lot: 1\r\nReserve-Kb: 25\r\nConnection: close\r\n";
    bytes += is_write ? "Content-Length: 9\r\n\r\ntimesheet" : "\r\n";
    return status_of(exchange(client_ip(member), processes_.at(member).client_port, bytes));
}

bool RouterFleet::all_see(std::size_t member, const std::string& state,
                          const std::vector<std::size_t>& viewers_left_out) {
    for (std::size_t viewer = 0; viewer < members(); ++viewer) {
        if (!running(viewer) || viewer == member || contains(viewers_left_out, viewer))
            continue;
        const MembershipView view = membership(viewer);
        const auto seen = view.find(member_name(member));
        if (seen == view.end() || seen->second.state != state)
            return false;
    }
    return true;
}

bool RouterFleet::agree(const std::vector<std::size_t>& viewers_left_out) {
    for (std::size_t member = 0; member < members(); ++member)
        if (running(member) && !all_see(member, "alive", viewers_left_out))
            return false;
    return true;
}

}  // namespace silverrail::lab
