// Bounded history of changes, and division of the whole state into messages.

#include "fleet/ViewHistory.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/FieldMemory.h"

namespace camphorcleat::fleet {

namespace {

constexpr std::size_t kMaxRevisions = 4096;
constexpr std::size_t kMaxChanges = 65536;
constexpr std::size_t kMaxContentBytes = 8U << 20U;

// Accounts and routes of all configurations in one update, if there are several. An entry takes
// about 100 bytes.
constexpr std::size_t kMaxConfigurationEntries = 8192;

// Limits of one snapshot part. Its size is counted in units: one per change, and one more per 64
// partitions of a change. A partition number takes at most 5 bytes and most other changes less than
// 1 KiB, so a part stays below 256 KiB unless it contains larger ones, such as a large
// configuration.
constexpr std::size_t kPartitionsPerChange = 8192;
constexpr std::size_t kUnitsPerPart = 256;
constexpr std::size_t kPartitionsPerUnit = 64;

std::size_t unitsOf(const wire::Change& aChange)
{
  const auto* set = std::get_if<wire::PartitionsSet>(&aChange);
  return set == nullptr ? 1 : 1 + set->partitions.size() / kPartitionsPerUnit;
}

// Splits changes with very many partitions so that no single change exceeds the size of a part.
std::vector<wire::Change> splitLargeChanges(std::vector<wire::Change> aChanges)
{
  std::vector<wire::Change> out;
  for (auto& it : aChanges) {
    auto* set = std::get_if<wire::PartitionsSet>(&it);
    if (set == nullptr || set->partitions.size() <= kPartitionsPerChange) {
      out.push_back(std::move(it));
      continue;
    }
    for (std::size_t i = 0; i < set->partitions.size(); i += kPartitionsPerChange) {
      const std::size_t end = std::min(i + kPartitionsPerChange, set->partitions.size());
      wire::PartitionsSet piece;
      piece.service = set->service;
      piece.grant = set->grant;
      piece.partitions.assign(set->partitions.begin() + static_cast<std::ptrdiff_t>(i),
                              set->partitions.begin() + static_cast<std::ptrdiff_t>(end));
      out.emplace_back(std::move(piece));
    }
  }
  return out;
}

// Returns how many accounts and routes a change contains.
std::size_t configurationEntries(const wire::Change& aChange)
{
  const wire::Configuration* configuration = nullptr;
  if (const auto* set = std::get_if<wire::ConfigurationSet>(&aChange)) {
    configuration = &set->configuration;
  } else if (const auto* changed = std::get_if<wire::ConfigurationChanged>(&aChange)) {
    configuration = &changed->next;
  }
  return configuration == nullptr ? 0
                                  : configuration->accounts.size() + configuration->routes.size();
}

// Several large configurations in one update could exceed the size of a message, and the whole
// state contains only the last of them.
bool hasTooLargeConfigurations(const std::vector<wire::Change>& aChanges)
{
  std::size_t configurations = 0;
  std::size_t entries = 0;
  for (const auto& it : aChanges) {
    const std::size_t n = configurationEntries(it);
    configurations += n > 0 ? 1 : 0;
    entries += n;
  }
  return configurations > 1 && entries > kMaxConfigurationEntries;
}

} // namespace

void ViewHistory::add(Revision aRevision, std::vector<wire::Change> aChanges)
{
  mRevision = aRevision;
  if (aChanges.empty()) {
    return;
  }
  Item item{ aRevision, std::move(aChanges), 0 };
  for (const auto& it : item.changes) {
    item.contentBytes += heapBytes(it);
  }
  mChangeCount += item.changes.size();
  mContentBytes += item.contentBytes;
  mItems.push_back(std::move(item));
  while (mItems.size() > 1 && exceedsLimits()) {
    const Item& oldest = mItems.front();
    mCompleteSince = oldest.revision;
    mChangeCount -= oldest.changes.size();
    mContentBytes -= oldest.contentBytes;
    mItems.pop_front();
  }
}

bool ViewHistory::exceedsLimits() const
{
  return mItems.size() > kMaxRevisions || mChangeCount > kMaxChanges ||
         mContentBytes > kMaxContentBytes;
}

void ViewHistory::reset(Revision aRevision)
{
  mItems.clear();
  mChangeCount = 0;
  mContentBytes = 0;
  mCompleteSince = aRevision;
  mRevision = aRevision;
}

std::optional<wire::ViewUpdate> ViewHistory::updateSince(Revision aFrom) const
{
  if (aFrom < mCompleteSince || aFrom > mRevision || aFrom == 0) {
    return std::nullopt;
  }
  wire::ViewUpdate update{ aFrom, mRevision, {}, {} };
  const auto first =
    std::upper_bound(mItems.begin(), mItems.end(), aFrom,
                     [](Revision aValue, const Item& aItem) { return aValue < aItem.revision; });
  for (auto it = first; it != mItems.end(); ++it) {
    update.changes.insert(update.changes.end(), it->changes.begin(), it->changes.end());
    update.revisions.insert(update.revisions.end(), it->changes.size(), it->revision);
  }
  if (hasTooLargeConfigurations(update.changes)) {
    return std::nullopt;
  }
  return update;
}

std::vector<wire::ViewSnapshot> snapshotParts(const FleetModel& aModel, Revision aRevision)
{
  std::vector<wire::ViewSnapshot> parts(1);
  std::size_t units = 0;
  for (auto& it : splitLargeChanges(aModel.toChanges())) {
    const std::size_t n = unitsOf(it);
    if (units > 0 && units + n > kUnitsPerPart) {
      parts.emplace_back();
      units = 0;
    }
    units += n;
    parts.back().changes.push_back(std::move(it));
  }
  for (std::uint32_t i = 0; i < parts.size(); ++i) {
    parts[i].revision = aRevision;
    parts[i].part = i;
    parts[i].partCount = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

} // namespace camphorcleat::fleet
