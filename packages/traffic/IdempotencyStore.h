// The idempotency keys seen in the last 10 minutes, with the first answer to each.
//
// A record is never dropped before its lifetime to make room: a resend would then run a second
// time. When the memory is full, new idempotency keys are refused as not run. When only the bytes
// are used up, a record stays without its answer, and a resend gets "outcome unknown".

#ifndef CAMPHORCLEAT_TRAFFIC_IDEMPOTENCYSTORE_H_
#define CAMPHORCLEAT_TRAFFIC_IDEMPOTENCYSTORE_H_

#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/Codec.h"
#include "base/Time.h"
#include "traffic/PartitionKey.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

/// A complete answer that can be given again.
struct StoredAnswer
{
  static constexpr const char* kName = "stored_answer";
  std::uint32_t status = 0;
  std::vector<wire::Header> headers;
  Bytes body;
  static constexpr auto fields()
  {
    return std::make_tuple(field("status", &StoredAnswer::status),
                           field("headers", &StoredAnswer::headers),
                           field("body", &StoredAnswer::body));
  }
  /// Bytes of names, values and body.
  std::size_t sizeBytes() const;
};

enum class RecordState
{
  Running,
  Answered,
  Unknown, ///< May have run; the answer is lost or was not kept.
};

/// One idempotency key on its way to the next owner of its partition.
struct IdempotencyRecord
{
  static constexpr const char* kName = "memory_record";
  std::string account;
  std::string idempotencyKey;
  std::string requestDigest;
  RecordState state = RecordState::Unknown;
  StoredAnswer answer;
  Millis lifetimeLeft{ 0 };
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &IdempotencyRecord::account),
                           field("idempotency_key", &IdempotencyRecord::idempotencyKey),
                           field("request_digest", &IdempotencyRecord::requestDigest),
                           field("state", &IdempotencyRecord::state),
                           field("answer", &IdempotencyRecord::answer),
                           field("lifetime_left_ms", &IdempotencyRecord::lifetimeLeft));
  }
};

/// Names one idempotency key of one account in one partition.
struct IdempotencyRecordKey
{
  PartitionKey partition;
  std::string account;
  std::string idempotencyKey;
};

/// Not thread-safe. Times must not decrease between calls.
class IdempotencyStore
{
public:
  struct Config
  {
    Millis lifetime{ 600'000 };
    std::size_t maxAnswerBytes = std::size_t{ 64 } * 1024; ///< Longest body that is stored.
    std::size_t maxRecordsPerPartition = 4096;
    std::size_t maxBytesPerPartition = std::size_t{ 4 } * 1024 * 1024;
    std::size_t maxRecords = 65'536; ///< Over all partitions.
    std::size_t maxBytes = std::size_t{ 64 } * 1024 * 1024;
    std::size_t maxKeyBytes = 256; ///< Longest idempotency key.
  };

  enum class Verdict
  {
    Run,      ///< First use; the record is now running.
    Replay,   ///< Give the stored answer again.
    Unknown,  ///< The first run is not finished, or its answer is lost.
    Conflict, ///< The key was used with another request.
    Full,     ///< No room for another key.
    TooLong,  ///< The key is longer than allowed.
  };
  struct Result
  {
    Verdict verdict = Verdict::Run;
    std::optional<StoredAnswer> answer; ///< Set with Replay.
  };

  IdempotencyStore()
    : IdempotencyStore(Config())
  {
  }
  explicit IdempotencyStore(const Config& aConfig)
    : mConfig(aConfig)
  {
  }

  /// Looks a request up and records it as running if it is the first. aIsResend: the caller says
  /// that an earlier attempt may have run.
  Result begin(TimePoint aNow, const IdempotencyRecordKey& aKey, const std::string& aRequestDigest,
               bool aIsResend);

  /// The running request was answered. Without an answer, or with one that is too large, a resend
  /// gets Unknown.
  void finish(TimePoint aNow, const IdempotencyRecordKey& aKey,
              std::optional<StoredAnswer> aAnswer);

  /// The running request certainly did not run: its key is free again.
  void release(const IdempotencyRecordKey& aKey);

  /// The partition came here without its records (unplanned change of owner): for one lifetime, a
  /// resend with an unknown key gets Unknown.
  void startWithoutRecords(const PartitionKey& aPartition, TimePoint aNow);

  /// Removes and returns the records of a partition for its next owner. A running record is
  /// exported as unknown.
  std::vector<IdempotencyRecord> exportPartition(TimePoint aNow, const PartitionKey& aPartition);

  /// Adds the records of a planned move. Keys known here are kept. Records above the bounds are
  /// left out, and the partition counts as unplanned from then on.
  void importPartition(TimePoint aNow, const PartitionKey& aPartition,
                       std::vector<IdempotencyRecord> aRecords);

  /// Forgets a partition that is not owned any more.
  void drop(const PartitionKey& aPartition);

  std::size_t recordCount() const { return mRecordCount; }
  std::size_t bytes() const { return mBytes; }

private:
  using Name = std::pair<std::string, std::string>; // Account and idempotency key.
  struct Partition;
  struct Record
  {
    std::string digest;
    RecordState state = RecordState::Running;
    StoredAnswer answer;
    std::size_t bytes = 0;
    TimePoint expiresAt;
  };
  struct Partition
  {
    std::map<Name, Record> records;
    std::multimap<TimePoint, Name> expiries; // Of records that are not running.
    std::size_t bytes = 0;
    std::optional<TimePoint> recordsMissingUntil;
  };

  Partition* findPartition(const PartitionKey& aPartition);
  Record* findRunning(const IdempotencyRecordKey& aKey);
  bool hasRoom(const Partition& aPartition, std::size_t aBytes) const;
  void add(Partition& aPartition, Name aName, Record aRecord);
  void setExpiry(Partition& aPartition, const Name& aName, Record& aRecord, TimePoint aExpiresAt);
  void store(Partition& aPartition, Record& aRecord, std::optional<StoredAnswer> aAnswer);
  void erase(Partition& aPartition, std::map<Name, Record>::iterator aRecord);
  void expire(TimePoint aNow, Partition& aPartition);
  void expireAll(TimePoint aNow);

  Config mConfig;
  std::map<PartitionKey, Partition> mPartitions; // With records or unplanned, so bounded by both.
  std::size_t mRecordCount = 0;
  std::size_t mBytes = 0;
  TimePoint mNextSweep;
};

} // namespace camphorcleat::traffic

namespace camphorcleat {

template<>
struct EnumNames<traffic::RecordState>
{
  static constexpr EnumName<traffic::RecordState> kTable[] = {
    { traffic::RecordState::Running, "running" },
    { traffic::RecordState::Answered, "answered" },
    { traffic::RecordState::Unknown, "unknown" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_TRAFFIC_IDEMPOTENCYSTORE_H_
