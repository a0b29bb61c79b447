#include "state/in_force.h"

#include <algorithm>

namespace silverrail::state {

namespace {
constexpr std::uint8_t kGone = 2;  // routing::Condition::gone

template <class... F>
struct Cases : F... {
    using F::operator()...;
};
template <class... F>
Cases(F...) -> Cases<F...>;
}  // namespace

Kept::Kept(const Record& record) : record_(record), held_(true) {
    std::size_t bytes = 0;
    const auto over_texts = [this](auto&& f) {
        std::visit(
            [&](auto& body) {
                using T = std::decay_t<decltype(body)>;
                T::fields(body, [&](const char*, auto& value, Pack) {
                    if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Text>)
                        f(value);
                });
            },
            record_.body);
    };
    over_texts([&](Text& t) { bytes += t.size(); });
    if (bytes == 0)
        return;
    texts_ = std::make_unique<char[]>(bytes);
    char* to = texts_.get();
    over_texts([&](Text& t) {
        std::copy(t.begin(), t.end(), to);
        t = {to, t.size()};
        to += t.size();
    });
}

void InForce::take(const Record& record) {
    auto at = sources_.find(record.source);
    if (at == sources_.end()) {
        if (sources_.size() >= kMostSources) {
            ++given_up_;
            return;
        }
        at = sources_.try_emplace(record.source).first;
    }
    Source& s = at->second;
    std::visit(Cases{
                   [&](const Start& start) {
                       // A router that starts has nothing but what comes after.
                       s = {};
                       s.start = Kept{record};
                       s.offset = start.offset;
                   },
                   [&](const Clock& clock) {
                       s.clock = Kept{record};
                       s.offset = clock.offset;
                       forget(s, record.at);
                   },
                   [&](const List& list) {
                       if (list.complete)
                           s.servers.clear();
                   },
                   [&](const Entry& entry) { on_entry(s, record, entry); },
                   [&](const Purge&) {
                       s.purges.emplace_back(record);
                       forget(s, record.at);
                   },
                   [&](const Taken& taken) {
                       if (taken.call == 0)
                           return;
                       if (s.calls.size() >= kMostCalls) {
                           s.calls.erase(s.calls.begin());
                           ++given_up_;
                       }
                       OpenCall& open = s.calls[taken.call];
                       open = {};
                       open.taken = Kept{record};
                   },
                   [&](const Sent& sent) {
                       const auto call = s.calls.find(sent.call);
                       if (call == s.calls.end())
                           return;
                       if (call->second.out.size() < kMostOut)
                           call->second.out.emplace_back(record);
                       else
                           ++given_up_;
                   },
                   [&](const Ended& ended) {
                       const auto call = s.calls.find(ended.call);
                       if (call == s.calls.end())
                           return;
                       std::erase_if(call->second.out, [&](const Kept& k) {
                           return std::get<Sent>(k.record().body).attempt == ended.attempt;
                       });
                       if (call->second.closed && call->second.out.empty())
                           s.calls.erase(call);
                   },
                   [&](const ClientClosed& abandoned) { close(s, abandoned.call, record); },
                   [&](const Answered& answered) { close(s, answered.call, record); },
                   [](const auto&) {},
               },
               record.body);
}

void InForce::close(Source& s, std::uint64_t call, const Record& record) {
    const auto at = s.calls.find(call);
    if (at == s.calls.end())
        return;
    if (at->second.out.empty())
        s.calls.erase(at);
    else if (!at->second.closed)
        at->second.closed = Kept{record};
}

void InForce::on_entry(Source& s, const Record& record, const Entry& entry) {
    const auto at = s.servers.find(entry.id);
    if (entry.condition == kGone) {
        if (at != s.servers.end())
            s.servers.erase(at);
    } else if (at != s.servers.end()) {
        at->second = Kept{record};
    } else if (s.servers.size() < kMostServers) {
        s.servers.emplace(std::string{entry.id}, Kept{record});
    } else {
        ++given_up_;
    }
}

void InForce::forget(Source& s, std::int64_t now) {
    while (!s.purges.empty() && s.purges.front().record().at < now - kPurgeKept)
        s.purges.pop_front();
    while (s.purges.size() > kMostPurges) {
        s.purges.pop_front();
        ++given_up_;
    }
    // Ids rise with time, so the first are the oldest.
    while (!s.calls.empty() && s.calls.begin()->second.taken.record().at < now - kCallKept)
        s.calls.erase(s.calls.begin());
}

void InForce::each(const std::function<void(const Record&)>& f) const {
    for (const auto& [number, s] : sources_) {
        if (s.start)
            f(s.start.record());
        if (s.clock)
            f(s.clock.record());
        if (!s.servers.empty()) {
            Record list;
            list.at = s.servers.begin()->second.record().at;
            for (const auto& [id, server] : s.servers)
                list.at = std::max(list.at, server.record().at);
            list.source = number;
            list.body = List{s.servers.size(), true};
            f(list);
            for (const auto& [id, server] : s.servers)
                f(server.record());
        }
        for (const Kept& purge : s.purges)
            f(purge.record());
        for (const auto& [id, call] : s.calls) {
            f(call.taken.record());
            for (const Kept& sent : call.out)
                f(sent.record());
            if (call.closed)
                f(call.closed.record());
        }
    }
}

std::int64_t InForce::unix_ns(std::uint32_t source, std::int64_t at) const {
    const auto s = sources_.find(source);
    return s == sources_.end() ? at : at + s->second.offset;
}

const Start* InForce::start(std::uint32_t source) const {
    const auto s = sources_.find(source);
    return s == sources_.end() ? nullptr : std::get_if<Start>(&s->second.start.record().body);
}

const InForce::OpenCall* InForce::call(std::uint32_t source, std::uint64_t call) const {
    const auto s = sources_.find(source);
    if (s == sources_.end())
        return nullptr;
    const auto at = s->second.calls.find(call);
    return at == s->second.calls.end() ? nullptr : &at->second;
}

std::size_t InForce::open_calls() const {
    std::size_t n = 0;
    for (const auto& [number, s] : sources_)
        n += s.calls.size();
    return n;
}

std::size_t InForce::servers(std::uint32_t source) const {
    const auto s = sources_.find(source);
    return s == sources_.end() ? 0 : s->second.servers.size();
}

}  // namespace silverrail::state
