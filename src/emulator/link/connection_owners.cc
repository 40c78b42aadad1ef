#include "emulator/link/connection_owners.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace ferryrock::emulator {
namespace {

namespace fs = std::filesystem;

constexpr std::uint32_t kAnyState = 0xffffffff;
constexpr std::size_t kAnswerBytes = 4096;

/// Message that asks the system for the one TCP socket with these two addresses.
struct SocketQuery {
  nlmsghdr header;
  inet_diag_req_v2 request;
};

SocketQuery queryOf(const SocketAddress& local, const SocketAddress& remote) {
  SocketQuery query{};
  query.header.nlmsg_len = sizeof query;
  query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.header.nlmsg_flags = NLM_F_REQUEST;
  query.request.sdiag_family = AF_INET;
  query.request.sdiag_protocol = IPPROTO_TCP;
  query.request.idiag_states = kAnyState;
  inet_diag_sockid& id = query.request.id;
  id.idiag_sport = htons(local.port);
  id.idiag_dport = htons(remote.port);
  id.idiag_src[0] = local.native().sin_addr.s_addr;
  id.idiag_dst[0] = remote.native().sin_addr.s_addr;
  id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return query;
}

/// Number of the socket's inode; nothing for a socket that no process holds.
std::optional<std::uint32_t> inodeOf(const SocketAddress& local, const SocketAddress& remote) {
  const int channel = ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (channel < 0) {
    return std::nullopt;
  }
  const SocketQuery query = queryOf(local, remote);
  alignas(nlmsghdr) std::array<char, kAnswerBytes> answer{};
  ssize_t length = ::send(channel, &query, sizeof query, 0);
  if (length == static_cast<ssize_t>(sizeof query)) {
    length = ::recv(channel, answer.data(), answer.size(), 0);
  }
  ::close(channel);
  nlmsghdr header{};
  inet_diag_msg message{};
  if (length < static_cast<ssize_t>(NLMSG_LENGTH(sizeof message))) {
    return std::nullopt;
  }
  std::memcpy(&header, answer.data(), sizeof header);
  std::memcpy(&message, answer.data() + NLMSG_HDRLEN, sizeof message);
  if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY || message.idiag_inode == 0) {
    return std::nullopt;
  }
  return message.idiag_inode;
}

bool holds(const std::string& process_id, const std::string& wanted_link) {
  std::error_code fault;
  const fs::directory_iterator descriptors("/proc/" + process_id + "/fd", fault);
  if (fault) {
    return false;
  }
  for (const fs::directory_entry& descriptor : descriptors) {
    const fs::path link = fs::read_symlink(descriptor.path(), fault);
    if (!fault && link == wanted_link) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::vector<ConnectionOwners::Member> ConnectionOwners::members() const {
  std::vector<Member> found;
  std::error_code fault;
  for (const fs::directory_entry& entry : fs::directory_iterator(folder_, fault)) {
    if (entry.path().extension() != ".pid") {
      continue;
    }
    Member member;
    member.name = ProcessName(entry.path().stem().string());
    std::ifstream(entry.path()) >> member.id;
    found.push_back(std::move(member));
  }
  return found;
}

ProcessName ConnectionOwners::ownerOf(const SocketAddress& local, const SocketAddress& remote) const {
  if (folder_.empty()) {
    return {};
  }
  const std::optional<std::uint32_t> inode = inodeOf(local, remote);
  if (!inode) {
    return {};
  }
  const std::string link = "socket:[" + std::to_string(*inode) + "]";
  for (const Member& member : members()) {
    if (holds(member.id, link)) {
      return member.name;
    }
  }
  return {};
}

}  // namespace ferryrock::emulator
