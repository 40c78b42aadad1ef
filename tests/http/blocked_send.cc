#include "http/blocked_send.h"

#include <dlfcn.h>
#include <sys/socket.h>

#include <cerrno>
#include <mutex>
#include <string_view>

namespace ferryrock::http {
namespace {

std::mutex mutex;
std::string blocked_text;
bool blocked = false;

bool blocks(std::string_view bytes) {
  const std::scoped_lock lock(mutex);
  if (blocked_text.empty() || blocked || bytes.find(blocked_text) == std::string_view::npos) {
    return false;
  }
  blocked = true;
  return true;
}

}  // namespace

BlockedSend::BlockedSend(const std::string& text) {
  const std::scoped_lock lock(mutex);
  blocked_text = text;
  blocked = false;
}

BlockedSend::~BlockedSend() {
  const std::scoped_lock lock(mutex);
  blocked_text.clear();
}

bool BlockedSend::happened() {
  const std::scoped_lock lock(mutex);
  return blocked;
}

}  // namespace ferryrock::http

/// Takes the place of the C library's function for the whole program, libcurl included.
extern "C" __attribute__((visibility("default"))) ssize_t send(int socket, const void* bytes,
                                                               std::size_t size, int flags) {
  using Send = ssize_t (*)(int, const void*, std::size_t, int);
  static const Send kernel_send = reinterpret_cast<Send>(::dlsym(RTLD_NEXT, "send"));
  if (ferryrock::http::blocks(std::string_view(static_cast<const char*>(bytes), size))) {
    errno = EAGAIN;
    return -1;
  }
  return kernel_send(socket, bytes, size, flags);
}
