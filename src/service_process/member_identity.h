#pragma once

#include <string>
#include <vector>

#include "common/identifiers.h"
#include "storage/log_storage.h"
#include "wire/messages.h"

namespace ferryrock::service_process {

/// Identity of a control process. Generated once, when the data folder is empty, and stored there: a process
/// whose disk was wiped gets a new identity.
struct MemberIdentity {
  MemberId id;
  /// The initial members of the cell if this process is a founder; empty if it joins an existing cell.
  std::vector<wire::Member> founders;
  FERRYROCK_FIELDS(MemberIdentity, id, founders)
};

/// A control process that is contacted first: its internal address, and its address for operators.
struct SeedMember {
  NodeName node;
  std::string http;
};

/// Reads the identity from the folder, or generates one and syncs it to disk. A founder is a seed that starts
/// with an empty disk at the first start of the whole system (`bootstrap`). Founders' identities are derived
/// from their addresses, so that each founder knows the identities of the others. Throws Error if the disk
/// fails.
MemberIdentity loadIdentity(storage::FileSystem& files, const NodeName& self,
                            const std::vector<SeedMember>& seeds, bool bootstrap,
                            std::uint64_t random_number);

}  // namespace ferryrock::service_process
