#include "net/shared_port.h"

#include <linux/filter.h>

#include <cerrno>
#include <cstring>

namespace silverrail::net {

void route_to_latest(int socket, Log& log) {
    sock_filter latest[] = {
        BPF_STMT(BPF_RET | BPF_K, 1)};  // index of the second of two sockets; ignored if there is only one
    const sock_fprog program{1, latest};
    if (::setsockopt(socket, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) != 0)
        log.line("shared-port", "cannot attach the filter, arrivals are distributed over all processes: %s",
                 std::strerror(errno));
}

}  // namespace silverrail::net
