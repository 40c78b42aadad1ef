#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cxxopts.hpp>
#include <string>
#include <system_error>

#include "catalog/tree_files.h"
#include "cli/command.h"
#include "cli/output.h"
#include "common/quantity.h"
#include "transport/transport.h"

/// Subcommands that need no control cell.
namespace ferryrock::cli {
namespace {

void declareValidate(cxxopts::Options& options) {
  options.add_options()("accelerator-memory",
                        "Memory of the largest accelerator; models that need more are faults",
                        cxxopts::value<std::string>()->default_value("0B"), "SIZE");
}

ExitCode runValidate(const CommandInput& input) {
  const std::string path = positionals(input).front();
  const std::uint64_t largest = parseBytes(input.options["accelerator-memory"].as<std::string>());
  catalog::LoadedTree loaded = catalog::loadTree(path);
  std::vector<catalog::TreeFault> faults = std::move(loaded.faults);
  const catalog::SettingsTree tree(std::move(loaded.nodes));
  if (faults.empty()) {
    faults = tree.validate(largest);
  }
  if (!faults.empty()) {
    printFaults(faults, input.environment.err);
    input.environment.err << "ferryrock: " << path << " has " << faults.size()
                          << (faults.size() == 1 ? " fault.\n" : " faults.\n");
    return ExitCode::Failure;
  }
  input.environment.out << path << " is valid: " << tree.nodes().size() << " nodes.\n";
  return ExitCode::Success;
}

constexpr mode_t kPublicMode = 0644;
constexpr mode_t kSecretMode = 0600;

/// Writes a file that must not exist yet, so that no key in use is lost.
void writeNewFile(const std::string& file, const std::string& line, mode_t mode) {
  const auto fail = [&file](const char* what) {
    throw Error(ResultCode::UnreadableFile, std::string(what) + ": " + std::generic_category().message(errno),
                file);
  };
  const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  if (descriptor < 0) {
    fail("the file can't be made");
  }
  const std::string content = line + "\n";
  const bool written =
      ::write(descriptor, content.data(), content.size()) == static_cast<ssize_t>(content.size()) &&
      ::fsync(descriptor) == 0;
  ::close(descriptor);
  if (!written) {
    fail("the file can't be written");
  }
}

void declareKeys(cxxopts::Options& options) {
  options.add_options()("out", "Writes FILE.public and FILE.secret", cxxopts::value<std::string>(), "FILE");
}

ExitCode runKeys(const CommandInput& input) {
  if (positionals(input).front() != "generate" || input.options.count("out") == 0) {
    throw Error(ResultCode::InvalidArgument, "the usage is 'keys generate --out FILE'");
  }
  const auto prefix = input.options["out"].as<std::string>();
  const transport::KeyPair keys = transport::generateKeyPair();
  writeNewFile(prefix + ".secret", keys.secret_key, kSecretMode);
  writeNewFile(prefix + ".public", keys.public_key, kPublicMode);
  input.environment.out << "The public key is " << keys.public_key << ".\n";
  return ExitCode::Success;
}

constexpr CommandDefinition kCommands[] = {
    {"validate", CommandKind::Local, "PATH", "Check settings files without a control cell",
     "ferryrock validate examples/compressor-service", 1, 1, declareValidate, runValidate},
    {"keys", CommandKind::Local, "generate", "Make a pair of keys for the processes' own connections",
     "ferryrock keys generate --out /etc/ferryrock/router-1", 1, 1, declareKeys, runKeys},
};

}  // namespace

std::span<const CommandDefinition> localCommands() {
  return kCommands;
}

}  // namespace ferryrock::cli
