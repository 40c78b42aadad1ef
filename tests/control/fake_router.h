#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wire/messages.h"

namespace ferryrock::control {

/// A router's side of the table and of claims, as messages.h describes it, in its simplest form.
class FakeRouter {
 public:
  explicit FakeRouter(const std::string& name, std::uint64_t incarnation = 1)
      : name_(name), incarnation_(incarnation) {}

  const NodeName& name() const { return name_; }
  TreeVersion treeVersion() const { return tree_version_; }
  LogIndex revision() const { return revision_; }
  bool ready() const { return ready_; }
  const std::map<ModelName, wire::RouteEntry>& table() const { return table_; }
  const std::set<ModelName>& absent() const { return absent_; }
  const std::vector<wire::CommandReply>& replies() const { return replies_; }
  std::uint64_t fullTables() const { return full_tables_; }
  std::uint64_t updates() const { return updates_; }
  bool wentBack() const { return went_back_; }

  void want(const ModelName& name) { interests_.insert(name); }
  void unwant(const ModelName& name) {
    interests_.erase(name);
    removed_.insert(name);
    forget(name);
  }

  wire::RouterStatus status() {
    wire::RouterStatus status;
    status.router = name_;
    status.zone = ZoneName("hall-1");
    status.incarnation = incarnation_;
    status.sequence = ++sequence_;
    status.tree_version = tree_version_;
    status.revision = revision_;
    status.digest = digest();
    status.all_interests = sequence_ == 1 || send_all_;
    for (const ModelName& name : interests_) {
      if (status.all_interests || (!table_.contains(name) && !absent_.contains(name))) {
        status.added_interests.push_back(name);
      }
    }
    status.removed_interests.assign(removed_.begin(), removed_.end());
    removed_.clear();
    send_all_ = false;
    return status;
  }

  void receive(const wire::Message& message) {
    if (const auto* update = std::get_if<wire::TableUpdate>(&message)) {
      take(*update);
    } else if (const auto* replies = std::get_if<wire::CommandReplies>(&message)) {
      replies_.insert(replies_.end(), replies->replies.begin(), replies->replies.end());
    }
  }

  std::uint64_t digest() const {
    std::uint64_t digest = 0;
    for (const auto& [name, entry] : table_) {
      digest ^= wire::entryDigest(entry);
    }
    for (const ModelName& name : absent_) {
      digest ^= wire::absentDigest(name);
    }
    return digest;
  }

 private:
  void take(const wire::TableUpdate& update) {
    send_all_ = send_all_ || update.requests_interests;
    const bool older = ready_ && update.revision <= revision_;
    if (older || (!update.full && update.base_revision != revision_)) {
      return;
    }
    ++updates_;
    went_back_ = went_back_ || update.tree_version < tree_version_;
    if (update.full) {
      ++full_tables_;
      table_.clear();
      absent_.clear();
    }
    for (const wire::RouteEntry& entry : update.entries) {
      absent_.erase(entry.settings.name);
      table_[entry.settings.name] = entry;
    }
    for (const ModelName& name : update.removed) {
      table_.erase(name);
      absent_.insert(name);
    }
    ready_ = true;
    revision_ = update.revision;
    tree_version_ = update.tree_version;
  }

  void forget(const ModelName& name) {
    table_.erase(name);
    absent_.erase(name);
  }

  NodeName name_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  bool ready_ = false;
  bool send_all_ = false;
  bool went_back_ = false;
  TreeVersion tree_version_;
  LogIndex revision_;
  std::set<ModelName> interests_;
  std::set<ModelName> removed_;
  std::map<ModelName, wire::RouteEntry> table_;
  std::set<ModelName> absent_;
  std::vector<wire::CommandReply> replies_;
  std::uint64_t full_tables_ = 0;
  std::uint64_t updates_ = 0;
};

}  // namespace ferryrock::control
