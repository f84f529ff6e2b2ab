// Quorums are computed by sorting the members' values: k members have reached the k-th largest
// value.

#include "agreement/MembershipHistory.h"

#include <algorithm>
#include <utility>

#include "base/Codec.h"

namespace camphorcleat::agreement {

namespace {

const wire::Member* findIn(const wire::Membership& aMembership, NodeId aId)
{
  const auto it = std::find_if(aMembership.members.begin(), aMembership.members.end(),
                               [aId](const wire::Member& aMember) { return aMember.id == aId; });
  return it == aMembership.members.end() ? nullptr : &*it;
}

// True if a member with a known store in aBefore has another store in aAfter or is absent there.
bool isReplacement(const wire::Membership& aBefore, const wire::Membership& aAfter)
{
  return std::any_of(
    aBefore.members.begin(), aBefore.members.end(), [&aAfter](const wire::Member& aMember) {
      const wire::Member* after = findIn(aAfter, aMember.id);
      return aMember.store != 0 && (after == nullptr || after->store != aMember.store);
    });
}

std::uint64_t quorumValueOf(const wire::Membership& aMembership,
                            const MembershipHistory::ValueFunction& aValue)
{
  const std::size_t count = aMembership.members.size();
  if (count == 0) {
    return 0;
  }
  const std::size_t majority = count / 2 + 1;
  const auto known = static_cast<std::size_t>(
    std::count_if(aMembership.members.begin(), aMembership.members.end(),
                  [](const wire::Member& aMember) { return aMember.store != 0; }));
  const bool isCreating = known < majority;
  std::vector<std::uint64_t> values;
  for (const auto& it : aMembership.members) {
    values.push_back(it.store != 0 || isCreating ? aValue(it) : 0);
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[(isCreating ? count : majority) - 1];
}

} // namespace

MembershipHistory::MembershipHistory(LogIndex aIndex, wire::Membership aMembership)
{
  reset(aIndex, std::move(aMembership));
}

void MembershipHistory::append(const wire::LogEntry& aEntry)
{
  if (aEntry.kind != wire::EntryKind::Membership) {
    return;
  }
  orElse(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(membership, decode<wire::Membership>(aEntry.payload.data));
      const bool isConfirmed = !isReplacement(current(), membership);
      mVersions.push_back(Version{ aEntry.index, std::move(membership), isConfirmed });
      return {};
    },
    // Leaders write only entries that can be decoded, and records are checksummed. An entry that
    // can't be decoded fails on every member, so all of them skip it and stay consistent.
    [](const ErrorInfo&) {});
}

void MembershipHistory::truncateFrom(LogIndex aFrom)
{
  while (mVersions.size() > 1 && mVersions.back().index >= aFrom) {
    mVersions.pop_back();
  }
}

void MembershipHistory::compactTo(LogIndex aIndex)
{
  std::size_t keep = 0;
  while (keep + 1 < mVersions.size() && mVersions[keep + 1].index <= aIndex) {
    ++keep;
  }
  mVersions.erase(mVersions.begin(), mVersions.begin() + static_cast<std::ptrdiff_t>(keep));
}

void MembershipHistory::reset(LogIndex aIndex, wire::Membership aMembership)
{
  mVersions.clear();
  mVersions.push_back(Version{ aIndex, std::move(aMembership), aIndex == 0 });
}

const wire::Membership& MembershipHistory::at(LogIndex aIndex) const
{
  auto it = mVersions.rbegin();
  while (std::next(it) != mVersions.rend() && it->index > aIndex) {
    ++it;
  }
  return it->membership;
}

const wire::Member* MembershipHistory::find(NodeId aId) const
{
  return findIn(current(), aId);
}

std::uint64_t MembershipHistory::quorumValue(LogIndex aCommitIndex,
                                             const ValueFunction& aValue) const
{
  const std::uint64_t value = quorumValueOf(current(), aValue);
  if (currentIndex() <= aCommitIndex || !isUnconfirmed() || mVersions.size() == 1) {
    return value;
  }
  return std::min(value, quorumValueOf(mVersions[mVersions.size() - 2].membership, aValue));
}

bool acceptsStore(const wire::Member& aMember, wire::StoreId aStore)
{
  return aMember.store == 0 || aMember.store == aStore;
}

} // namespace camphorcleat::agreement
