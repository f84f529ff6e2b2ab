// Deduplicates requests by idempotency key: stores the keys of the last 10 minutes with the first
// response to each.
//
// A record is never evicted before it expires, since a resend would then run a second time. When
// the store is full, requests with new idempotency keys are refused as not run. When only the byte
// limits are reached, records are stored without their responses, and resends get "outcome
// unknown".

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

/// A complete response that can be replayed.
struct StoredResponse
{
  static constexpr const char* kName = "stored_answer";
  std::uint32_t status = 0;
  std::vector<wire::Header> headers;
  Bytes body;
  static constexpr auto fields()
  {
    return std::make_tuple(field("status", &StoredResponse::status),
                           field("headers", &StoredResponse::headers),
                           field("body", &StoredResponse::body));
  }
  /// Returns the total size of header names, header values and body.
  std::size_t sizeBytes() const;
};

enum class RecordState
{
  Running,
  Answered,
  Unknown, ///< The request may have run; its response is lost or was not stored.
};

/// The record of one idempotency key, as transferred to the next owner of its partition.
struct IdempotencyRecord
{
  static constexpr const char* kName = "memory_record";
  std::string account;
  std::string idempotencyKey;
  std::string requestDigest;
  RecordState state = RecordState::Unknown;
  StoredResponse response;
  Millis lifetimeLeft{ 0 };
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &IdempotencyRecord::account),
                           field("idempotency_key", &IdempotencyRecord::idempotencyKey),
                           field("request_digest", &IdempotencyRecord::requestDigest),
                           field("state", &IdempotencyRecord::state),
                           field("answer", &IdempotencyRecord::response),
                           field("lifetime_left_ms", &IdempotencyRecord::lifetimeLeft));
  }
};

/// Identifies the record of one idempotency key of one account in one partition.
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
    std::size_t maxResponseBytes = std::size_t{ 64 } * 1024; ///< Larger bodies are not stored.
    std::size_t maxRecordsPerPartition = 4096;
    std::size_t maxBytesPerPartition = std::size_t{ 4 } * 1024 * 1024;
    std::size_t maxRecords = 65'536; ///< Over all partitions.
    std::size_t maxBytes = std::size_t{ 64 } * 1024 * 1024;
    std::size_t maxKeyBytes = 256; ///< Maximum length of an idempotency key.
  };

  enum class Verdict
  {
    Run,      ///< First use of the key; its record is now in state Running.
    Replay,   ///< The stored response must be sent again.
    Unknown,  ///< The first run has not finished, or its response is lost.
    Conflict, ///< The key was used with a different request.
    Full,     ///< The store has no capacity for another key.
    TooLong,  ///< The key is longer than maxKeyBytes.
  };
  struct Result
  {
    Verdict verdict = Verdict::Run;
    std::optional<StoredResponse> response; ///< Set if the verdict is Replay.
  };

  IdempotencyStore()
    : IdempotencyStore(Config())
  {
  }
  explicit IdempotencyStore(const Config& aConfig)
    : mConfig(aConfig)
  {
  }

  /// Looks up a request, and adds a running record if its key is new. aIsResend: the caller states
  /// that an earlier attempt may have run.
  Result begin(TimePoint aNow, const IdempotencyRecordKey& aKey, const std::string& aRequestDigest,
               bool aIsResend);

  /// Records that the running request ended with aResponse. Without a response, or with one that is
  /// too large, resends get Unknown.
  void finish(TimePoint aNow, const IdempotencyRecordKey& aKey,
              std::optional<StoredResponse> aResponse);

  /// Removes the record of a running request that certainly did not run, so that its key can be
  /// used again.
  void release(const IdempotencyRecordKey& aKey);

  /// Records that this daemon became the owner of a partition without receiving its records, after
  /// an unplanned change of owner. For one record lifetime, resends with an unknown key get
  /// Unknown.
  void startWithoutRecords(const PartitionKey& aPartition, TimePoint aNow);

  /// Removes and returns the records of a partition for its next owner. Running records are
  /// exported as unknown.
  std::vector<IdempotencyRecord> exportPartition(TimePoint aNow, const PartitionKey& aPartition);

  /// Adds the records of a planned handover. Existing records are kept. If a limit is reached, the
  /// remaining records are left out and startWithoutRecords() applies to the partition.
  void importPartition(TimePoint aNow, const PartitionKey& aPartition,
                       std::vector<IdempotencyRecord> aRecords);

  /// Erases all records of a partition that this daemon no longer owns.
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
    StoredResponse response;
    std::size_t bytes = 0;
    TimePoint expiresAt; // Not set while the request is running.
  };
  struct Partition
  {
    std::map<Name, Record> records;
    std::multimap<TimePoint, Name> expiries; // Expiry times of records that are not running.
    std::size_t bytes = 0;
    std::optional<TimePoint> recordsMissingUntil;
  };

  Partition* findPartition(const PartitionKey& aPartition);
  Record* findRunning(const IdempotencyRecordKey& aKey);
  bool hasRoom(const Partition& aPartition, std::size_t aBytes) const;
  void add(Partition& aPartition, Name aName, Record aRecord);
  void setExpiry(Partition& aPartition, const Name& aName, Record& aRecord, TimePoint aExpiresAt);
  void store(Partition& aPartition, Record& aRecord, std::optional<StoredResponse> aResponse);
  void erase(Partition& aPartition, std::map<Name, Record>::iterator aRecord);
  void expire(TimePoint aNow, Partition& aPartition);
  void expireAll(TimePoint aNow);

  Config mConfig;
  // Partitions that have records or recently started without them.
  std::map<PartitionKey, Partition> mPartitions;
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
