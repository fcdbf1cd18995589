#include "src/transport/datagram.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "src/transport/sockaddr.hpp"

namespace petrelpond {

Socket datagramsAt(const Address& at, std::string& problem) {
    sockaddr_in address;
    Socket socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (socket.open() && asSockaddr(at, address) &&
        ::bind(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        return socket;
    }
    problem = std::strerror(errno);
    return Socket();
}

bool sendDatagram(const Socket& socket, const Address& to, std::string_view bytes) {
    sockaddr_in address;
    return asSockaddr(to, address) &&
           ::sendto(socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                    reinterpret_cast<sockaddr*>(&address), sizeof address) == static_cast<ssize_t>(bytes.size());
}

long receiveDatagram(const Socket& socket, char* into, size_t room, std::string& from) {
    sockaddr_in source{};
    socklen_t size = sizeof source;
    ssize_t got = ::recvfrom(socket.descriptor(), into, room, 0, reinterpret_cast<sockaddr*>(&source), &size);
    if (got < 0) return -1;
    char host[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &source.sin_addr, host, sizeof host);
    from = std::string(host) + ":" + std::to_string(ntohs(source.sin_port));
    return got;
}

Socket beginStream(const Address& to) {
    sockaddr_in address;
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!socket.open() || !asSockaddr(to, address)) return Socket();
    int done = ::connect(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
    return done == 0 || errno == EINPROGRESS ? std::move(socket) : Socket();
}

bool cameUp(const Socket& stream) { return !stream.broken(); }

long sendSome(const Socket& stream, std::string_view bytes) {
    ssize_t sent = ::send(stream.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent >= 0) return sent;
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? 0 : -1;
}

}  // namespace petrelpond
