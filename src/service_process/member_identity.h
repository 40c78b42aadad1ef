#pragma once

#include <string>
#include <vector>

#include "common/identifiers.h"
#include "storage/log_storage.h"
#include "wire/messages.h"

namespace ferryrock::service_process {

/// Who a control process is. Drawn once on an empty disk and kept there: a process whose disk was emptied has
/// a new identity.
struct MemberIdentity {
  MemberId id;
  /// The first members of the cell, for a process that helped to form it; empty for one that joins.
  std::vector<wire::Member> founders;
  FERRYROCK_FIELDS(MemberIdentity, id, founders)
};

/// A control process that is asked first: its internal address, and where operators reach it.
struct SeedMember {
  NodeName node;
  std::string http;
};

/// Reads the identity from the folder, or draws one and syncs it there. Founders' identities follow from
/// their addresses, so that all of them know the others'; only a process with an empty disk at the first
/// start of the whole system that is itself a seed is one. Throws Error for a disk that fails.
MemberIdentity loadIdentity(storage::FileSystem& files, const NodeName& self,
                            const std::vector<SeedMember>& seeds, bool bootstrap,
                            std::uint64_t random_number);

}  // namespace ferryrock::service_process
