#include "cluster/membership/membership_message.h"

namespace silverrail::cluster {

const char* name_of(MembershipMessage::Kind kind) {
    using Kind = MembershipMessage::Kind;
    switch (kind) {
        case Kind::ping:
            return "ping";
        case Kind::ack:
            return "ack";
        case Kind::ping_req:
            return "ping_req";
        case Kind::nack:
            return "nack";
        case Kind::push:
            return "push";
        case Kind::pull:
            return "pull";
        case Kind::gossip:
            return "gossip";
    }
    return "?";
}

}  // namespace silverrail::cluster
