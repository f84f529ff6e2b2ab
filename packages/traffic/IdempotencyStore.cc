// Idempotency records, bounded per partition and in total.

#include "traffic/IdempotencyStore.h"

#include <algorithm>

namespace camphorcleat::traffic {

namespace {

// Expired records of all partitions are removed at this interval, because a partition without new
// requests would otherwise keep them.
constexpr Millis kSweepInterval{ 1'000 };
// Approximate size of the map nodes, strings and times of a record.
constexpr std::size_t kRecordOverheadBytes = 256;

} // namespace

std::size_t StoredResponse::sizeBytes() const
{
  std::size_t out = body.size();
  for (const auto& it : headers) {
    out += it.name.size() + it.value.size();
  }
  return out;
}

IdempotencyStore::Result IdempotencyStore::begin(TimePoint aNow, const IdempotencyRecordKey& aKey,
                                                 const std::string& aRequestDigest, bool aIsResend)
{
  expireAll(aNow);
  if (aKey.idempotencyKey.size() > mConfig.maxKeyBytes) {
    return { Verdict::TooLong, std::nullopt };
  }
  Partition& partition = mPartitions[aKey.partition];
  expire(aNow, partition);
  Name name(aKey.account, aKey.idempotencyKey);
  const auto it = partition.records.find(name);
  if (it != partition.records.end()) {
    const Record& record = it->second;
    if (record.digest != aRequestDigest) {
      return { Verdict::Conflict, std::nullopt };
    }
    return record.state == RecordState::Answered ? Result{ Verdict::Replay, record.response }
                                                 : Result{ Verdict::Unknown, std::nullopt };
  }
  if (aIsResend && partition.recordsMissingUntil && aNow < *partition.recordsMissingUntil) {
    return { Verdict::Unknown, std::nullopt };
  }
  Record record;
  record.digest = aRequestDigest;
  record.bytes =
    kRecordOverheadBytes + name.first.size() + name.second.size() + aRequestDigest.size();
  if (!hasRoom(partition, record.bytes) ||
      partition.records.size() >= mConfig.maxRecordsPerPartition ||
      mRecordCount >= mConfig.maxRecords) {
    return { Verdict::Full, std::nullopt };
  }
  add(partition, std::move(name), std::move(record));
  return { Verdict::Run, std::nullopt };
}

void IdempotencyStore::finish(TimePoint aNow, const IdempotencyRecordKey& aKey,
                              std::optional<StoredResponse> aResponse)
{
  Record* record = findRunning(aKey);
  if (record == nullptr) {
    return;
  }
  Partition& partition = *findPartition(aKey.partition);
  store(partition, *record, std::move(aResponse));
  setExpiry(partition, Name(aKey.account, aKey.idempotencyKey), *record, aNow + mConfig.lifetime);
}

void IdempotencyStore::release(const IdempotencyRecordKey& aKey)
{
  if (findRunning(aKey) != nullptr) {
    Partition& partition = *findPartition(aKey.partition);
    erase(partition, partition.records.find(Name(aKey.account, aKey.idempotencyKey)));
  }
}

void IdempotencyStore::startWithoutRecords(const PartitionKey& aPartition, TimePoint aNow)
{
  mPartitions[aPartition].recordsMissingUntil = aNow + mConfig.lifetime;
}

std::vector<IdempotencyRecord> IdempotencyStore::exportPartition(TimePoint aNow,
                                                                 const PartitionKey& aPartition)
{
  std::vector<IdempotencyRecord> out;
  Partition* partition = findPartition(aPartition);
  if (partition == nullptr) {
    return out;
  }
  expire(aNow, *partition);
  for (auto& [name, record] : partition->records) {
    const bool isRunning = record.state == RecordState::Running;
    const Duration left = isRunning ? Duration(mConfig.lifetime) : record.expiresAt - aNow;
    out.push_back(IdempotencyRecord{ name.first, name.second, std::move(record.digest),
                                     isRunning ? RecordState::Unknown : record.state,
                                     std::move(record.response), Millis(toMillis(left) + 1) });
  }
  drop(aPartition);
  return out;
}

void IdempotencyStore::importPartition(TimePoint aNow, const PartitionKey& aPartition,
                                       std::vector<IdempotencyRecord> aRecords)
{
  expireAll(aNow);
  Partition& partition = mPartitions[aPartition];
  for (auto& it : aRecords) {
    Name name(it.account, it.idempotencyKey);
    if (partition.records.count(name) != 0) {
      continue;
    }
    Record record;
    record.bytes =
      kRecordOverheadBytes + name.first.size() + name.second.size() + it.requestDigest.size();
    record.digest = std::move(it.requestDigest);
    if (!hasRoom(partition, record.bytes) ||
        partition.records.size() >= mConfig.maxRecordsPerPartition ||
        mRecordCount >= mConfig.maxRecords) {
      startWithoutRecords(aPartition, aNow);
      return;
    }
    const Name copy = name;
    add(partition, std::move(name), std::move(record));
    Record& added = partition.records.at(copy);
    store(partition, added,
          it.state == RecordState::Answered ? std::make_optional(std::move(it.response))
                                            : std::nullopt);
    setExpiry(partition, copy, added, aNow + std::min(it.lifetimeLeft, mConfig.lifetime));
  }
}

void IdempotencyStore::drop(const PartitionKey& aPartition)
{
  const auto it = mPartitions.find(aPartition);
  if (it != mPartitions.end()) {
    mRecordCount -= it->second.records.size();
    mBytes -= it->second.bytes;
    mPartitions.erase(it);
  }
}

IdempotencyStore::Partition* IdempotencyStore::findPartition(const PartitionKey& aPartition)
{
  const auto it = mPartitions.find(aPartition);
  return it == mPartitions.end() ? nullptr : &it->second;
}

IdempotencyStore::Record* IdempotencyStore::findRunning(const IdempotencyRecordKey& aKey)
{
  Partition* partition = findPartition(aKey.partition);
  if (partition == nullptr) {
    return nullptr;
  }
  const auto it = partition->records.find(Name(aKey.account, aKey.idempotencyKey));
  const bool isRunning = it != partition->records.end() && it->second.state == RecordState::Running;
  return isRunning ? &it->second : nullptr;
}

bool IdempotencyStore::hasRoom(const Partition& aPartition, std::size_t aBytes) const
{
  return aPartition.bytes + aBytes <= mConfig.maxBytesPerPartition &&
         mBytes + aBytes <= mConfig.maxBytes;
}

void IdempotencyStore::add(Partition& aPartition, Name aName, Record aRecord)
{
  aPartition.bytes += aRecord.bytes;
  mBytes += aRecord.bytes;
  ++mRecordCount;
  aPartition.records.emplace(std::move(aName), std::move(aRecord));
}

void IdempotencyStore::setExpiry(Partition& aPartition, const Name& aName, Record& aRecord,
                                 TimePoint aExpiresAt)
{
  aRecord.expiresAt = aExpiresAt;
  aPartition.expiries.emplace(aExpiresAt, aName);
}

void IdempotencyStore::store(Partition& aPartition, Record& aRecord,
                             std::optional<StoredResponse> aResponse)
{
  aRecord.state = RecordState::Unknown;
  if (!aResponse || aResponse->body.size() > mConfig.maxResponseBytes) {
    return;
  }
  const std::size_t bytes = aResponse->sizeBytes();
  if (!hasRoom(aPartition, bytes)) {
    return;
  }
  aRecord.state = RecordState::Answered;
  aRecord.response = std::move(*aResponse);
  aRecord.bytes += bytes;
  aPartition.bytes += bytes;
  mBytes += bytes;
}

void IdempotencyStore::erase(Partition& aPartition, std::map<Name, Record>::iterator aRecord)
{
  aPartition.bytes -= aRecord->second.bytes;
  mBytes -= aRecord->second.bytes;
  --mRecordCount;
  aPartition.records.erase(aRecord);
}

void IdempotencyStore::expire(TimePoint aNow, Partition& aPartition)
{
  while (!aPartition.expiries.empty() && aPartition.expiries.begin()->first <= aNow) {
    const auto it = aPartition.records.find(aPartition.expiries.begin()->second);
    aPartition.expiries.erase(aPartition.expiries.begin());
    if (it != aPartition.records.end()) {
      erase(aPartition, it);
    }
  }
}

void IdempotencyStore::expireAll(TimePoint aNow)
{
  if (aNow < mNextSweep) {
    return;
  }
  mNextSweep = aNow + kSweepInterval;
  for (auto it = mPartitions.begin(); it != mPartitions.end();) {
    expire(aNow, it->second);
    const bool areRecordsMissing =
      it->second.recordsMissingUntil && aNow < *it->second.recordsMissingUntil;
    it = it->second.records.empty() && !areRecordsMissing ? mPartitions.erase(it) : std::next(it);
  }
}

} // namespace camphorcleat::traffic
