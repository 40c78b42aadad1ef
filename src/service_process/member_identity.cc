#include "service_process/member_identity.h"

#include <algorithm>

#include "common/hashing.h"
#include "wire/codec.h"

namespace ferryrock::service_process {
namespace {

constexpr const char* kIdentityFile = "identity";
constexpr const char* kTemporaryFile = "identity.new";
/// Limits identities to 62 bits, so that they are positive as signed 64-bit numbers.
constexpr std::uint64_t kIdentityMask = (std::uint64_t{1} << 62) - 1;

MemberId identityFrom(std::uint64_t number) {
  return MemberId{(number & kIdentityMask) | 1};
}

std::vector<wire::Member> foundersOf(const std::vector<SeedMember>& seeds) {
  std::vector<wire::Member> founders;
  for (const SeedMember& seed : seeds) {
    wire::Member member;
    member.id = identityFrom(stableHash(seed.node.value));
    member.node = seed.node;
    member.address = seed.node.value;
    member.http = seed.http;
    member.voter = true;
    founders.push_back(member);
  }
  return founders;
}

void store(storage::FileSystem& files, const MemberIdentity& identity) {
  if (files.exists(kTemporaryFile)) {
    files.remove(kTemporaryFile);
  }
  files.append(kTemporaryFile, wire::encode(identity));
  files.sync(kTemporaryFile);
  files.rename(kTemporaryFile, kIdentityFile);
  files.syncFolder();
}

}  // namespace

MemberIdentity loadIdentity(storage::FileSystem& files, const NodeName& self,
                            const std::vector<SeedMember>& seeds, bool bootstrap,
                            std::uint64_t random_number) {
  if (files.exists(kIdentityFile)) {
    return wire::decode<MemberIdentity>(files.read(kIdentityFile));
  }
  MemberIdentity identity;
  const bool is_seed =
      std::any_of(seeds.begin(), seeds.end(), [&self](const SeedMember& seed) { return seed.node == self; });
  const bool founder = bootstrap && is_seed;
  if (founder) {
    identity.founders = foundersOf(seeds);
    identity.id = identityFrom(stableHash(self.value));
  } else {
    identity.id = identityFrom(random_number);
  }
  store(files, identity);
  return identity;
}

}  // namespace ferryrock::service_process
